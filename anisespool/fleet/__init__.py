"""State that sidecars share with each other, and with the other process of an upgrade."""
