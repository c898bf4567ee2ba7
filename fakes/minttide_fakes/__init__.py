"""Stand-ins for the platform, engines and upstreams, with faults that a test can order."""
