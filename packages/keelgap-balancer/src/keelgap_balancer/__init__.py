"""The keelgap balancer: routes datagrams of callers to agents."""
