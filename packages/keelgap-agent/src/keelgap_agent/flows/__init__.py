"""Admission of new QUIC flows and the effects that carry it out."""
