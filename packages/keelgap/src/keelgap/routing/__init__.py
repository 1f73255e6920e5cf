"""Selection of the agent for a caller's datagram."""
