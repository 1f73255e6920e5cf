"""Dissemination of published documents to all processes.

A few processes of each availability zone read the platform's configuration
service; the others receive documents from their neighbours by gossip.  See
docs/topics/table.md.
"""
