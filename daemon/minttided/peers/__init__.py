"""What entry hosts tell each other: membership, relayed records, keyed calls passed on."""
