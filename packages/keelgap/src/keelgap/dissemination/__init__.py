"""How published documents come into force in every process.

A few processes of each availability zone read the platform's configuration
service; all others learn from their neighbours.  See docs/topics/table.md.
"""
