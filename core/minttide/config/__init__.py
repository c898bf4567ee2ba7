"""Service files and daemon settings: their structs, decoding and checks."""
