"""Control-plane cost of one sidecar as discovery's list grows, measured on hollow sidecars, which run the
real list and balancing code without sockets, and checked on real processes.

`python -m tests.scale hollow` prints the figures. `listing` generates the list and its changes, `hollow` and
`real` are the sidecars, `measure` reads CPU time and memory, `job` and `check` measure at one size, and
`report` prints the results."""
