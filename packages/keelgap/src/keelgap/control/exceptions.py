"""Reasons for which a control message is dropped."""

from keelgap.wire.exceptions import WireError

__all__ = ('MalformedMessage', 'NewerMajorVersion')


class MalformedMessage(WireError):
    """A control message cannot be decoded."""

    code = 'malformed_message'


class NewerMajorVersion(WireError):
    """A control message is of a major version that is not known here."""

    code = 'newer_major_version'
