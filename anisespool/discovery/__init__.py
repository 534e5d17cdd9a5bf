"""The client of discovery: `watch` keeps a streaming call open, `clock` and `deadline` decide when to call
again, `stream`, `channel` and `object_decoder` read one call."""
