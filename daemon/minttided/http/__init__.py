"""HTTP/1.1 based on h11: messages, a server, a client and problem responses."""
