"""Recovery after a restart, a crash or a power loss: the state store and what it holds for a sidecar, and the
server lists that a starting sidecar gets from its peers."""
