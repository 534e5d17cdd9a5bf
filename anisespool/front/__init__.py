"""The sidecar's server for its clients: listening, HTTP connections, timeouts and shutdown."""
