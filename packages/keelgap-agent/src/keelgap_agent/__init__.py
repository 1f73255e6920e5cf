"""The keelgap agent: ends flows beside the upstream instance it serves."""
