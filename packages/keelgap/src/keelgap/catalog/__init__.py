"""Catalog of routes and upstreams, built from the platform's store.

A few processes read the store; the others fetch its entries from their peers.
"""
