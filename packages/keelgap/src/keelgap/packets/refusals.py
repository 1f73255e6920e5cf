"""What balancers tell each other of callers whose flows were refused.

A caller that tries again does so from another port, so the routers lead it to
another balancer.  Without this message it would count as a new caller there,
and each refusal would bring two more callers who seem to be in time.
"""

import struct
from collections.abc import Iterable
from typing import Final, NamedTuple

from keelgap.packets.exceptions import MalformedEnvelope
from keelgap.packets.formats import FLOW_KEY_LENGTH

__all__ = (
    'MAX_REFUSED',
    'RefusedCaller',
    'pack_refused',
    'unpack_refused',
)

#: Flow key, age in milliseconds and number of refusals.
_ROW: Final = struct.Struct(f'!{FLOW_KEY_LENGTH}sHB')
_MOST: Final = 65535
_MOST_OCTET: Final = 255
#: Callers in one message: 1,200 octets.
MAX_REFUSED: Final = 80


class RefusedCaller(NamedTuple):
    """A caller that may come back at once."""

    #: Key of the flow that was refused.
    key: bytes
    #: Milliseconds since it first asked for its request.
    age_ms: int
    #: How often the request was refused.
    refusals: int


def pack_refused(callers: Iterable[RefusedCaller]) -> bytes:
    """Return the content of a message; values too large are cut."""
    return b''.join(
        _ROW.pack(
            caller.key,
            min(caller.age_ms, _MOST),
            min(caller.refusals, _MOST_OCTET),
        )
        for caller in callers
    )


def unpack_refused(content: bytes) -> tuple[RefusedCaller, ...]:
    """Return the callers of a message; raise MalformedEnvelope."""
    if len(content) % _ROW.size or len(content) > MAX_REFUSED * _ROW.size:
        raise MalformedEnvelope(len(content))
    return tuple(map(RefusedCaller._make, _ROW.iter_unpack(content)))
