"""A seeded soak: real sidecar processes, stand-ins for discovery, servers and clients, faults drawn from the
seed, judged from outside. `python -m tests.soak --help` plays it by hand."""
