"""Recovery after a crash or a power loss: the state store, and what it keeps of a sidecar."""
