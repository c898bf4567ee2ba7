"""Communication between entry hosts: membership, relayed records and forwarded keyed calls."""
