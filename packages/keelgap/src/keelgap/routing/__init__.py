"""Which agent a caller's datagram belongs to."""
