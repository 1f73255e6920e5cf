"""Encoding of the messages about refused callers between balancers.

A caller retries from another port, so that the routers send it to another
balancer.  Without this message that balancer would treat it as a new caller,
and each refusal would add two more callers that seem to be in time.
"""

import struct
from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import FLOW_KEY_LENGTH

__all__ = (
    'MAX_REFUSED_CALLERS',
    'RefusedCaller',
    'pack_refused',
    'unpack_refused',
)

#: Flow key, age in milliseconds and number of refusals.
_ROW: Final = struct.Struct(f'!{FLOW_KEY_LENGTH}sHB')
_MAX_UINT16: Final = 65535
_MAX_UINT8: Final = 255
#: Maximum callers per message, which has 1,200 octets then.
MAX_REFUSED_CALLERS: Final = 80


class RefusedCaller(NamedTuple):
    """A caller whose request was just refused and who may retry at once."""

    #: Key of the flow that was refused.
    key: bytes
    #: Milliseconds since the caller's first attempt at the request.
    age_ms: int
    #: Number of times the request was refused.
    refusals: int


def pack_refused(callers: Iterable[RefusedCaller]) -> bytes:
    """Encode the content of a REFUSED envelope, clamping field values."""
    return b''.join(
        _ROW.pack(
            caller.key,
            min(caller.age_ms, _MAX_UINT16),
            min(caller.refusals, _MAX_UINT8),
        )
        for caller in callers
    )


def unpack_refused(content: bytes) -> tuple[RefusedCaller, ...]:
    """Decode the content of a REFUSED envelope.

    Raises MalformedEnvelope if its length is invalid.
    """
    if (
        len(content) % _ROW.size
        or len(content) > MAX_REFUSED_CALLERS * _ROW.size
    ):
        raise MalformedEnvelope(len(content))
    return tuple(map(RefusedCaller._make, _ROW.iter_unpack(content)))
