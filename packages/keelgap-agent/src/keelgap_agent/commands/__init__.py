"""Commands of the ``keelgap-agent`` program, one module each."""
