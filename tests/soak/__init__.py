"""A seeded soak test: real sidecar processes with fake discovery, servers and clients, faults drawn from the
seed, and rules checked from outside the processes. Run it by hand with `python -m tests.soak --help`."""
