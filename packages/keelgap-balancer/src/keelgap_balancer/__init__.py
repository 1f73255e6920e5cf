"""The keelgap balancer: routes callers' datagrams to agents."""
