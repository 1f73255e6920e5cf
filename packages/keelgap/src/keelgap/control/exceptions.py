"""Errors for which a control message is dropped."""

from keelgap.wire.exceptions import WireError

__all__ = ('MalformedMessage', 'NewerMajorVersion')


class MalformedMessage(WireError):
    """The control message cannot be decoded."""

    code = 'malformed_message'


class NewerMajorVersion(WireError):
    """The major version of the control message is not supported."""

    code = 'newer_major_version'
