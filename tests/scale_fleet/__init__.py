"""Load on the control plane and on a whole fleet as the fleet grows: `python -m tests.scale_fleet`."""
