"""Stand-ins for the platform, the callers and the upstreams."""
