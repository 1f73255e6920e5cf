"""QUIC connections of callers and the data port that serves them."""
