"""Wire formats between processes, and parsing of callers' packets."""
