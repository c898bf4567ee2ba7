"""Messages between the entry hosts, generated from `peer.proto`."""
