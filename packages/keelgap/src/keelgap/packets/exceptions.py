"""Errors in datagrams between balancers and agents."""

from keelgap.exceptions import KeelgapError

__all__ = ('MalformedEnvelope',)


class MalformedEnvelope(KeelgapError):
    """A datagram from another process could not be decoded."""

    code = 'malformed_envelope'
