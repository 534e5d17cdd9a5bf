"""The sidecar process: sockets, timers and HTTP framing around the decision module `shuntlead`."""
