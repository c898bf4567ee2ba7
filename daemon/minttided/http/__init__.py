"""HTTP/1.1 by h11: messages, a server, a client, problem answers."""
