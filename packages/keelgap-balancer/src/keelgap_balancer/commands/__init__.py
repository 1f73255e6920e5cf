"""Commands of the ``keelgap`` program, one module each."""
