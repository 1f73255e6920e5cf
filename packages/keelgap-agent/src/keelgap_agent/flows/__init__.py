"""New QUIC flows: who takes them, and what is done about it."""
