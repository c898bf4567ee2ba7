"""Stand-ins for the platform, engines and upstreams, with fault injection for tests."""
