"""What really happened, and which promises were broken by it."""

import time
from typing import Final, NamedTuple

from keelgap.catalog.models import PacketRoute, TrafficShare
from tests.soak.settings import (
    CONFIG_SECONDS,
    SETTLED_SECONDS,
)

__all__ = ('ROUTES', 'Attempt', 'Truth', 'make_canonical')

#: Offsets in a packet of what programs may change: echo, and pad.
_ECHO: Final = slice(14, 18)
_FLAGS: Final = 26
_PAD: Final = slice(27, 30)
_BOUNCED: Final = 1

ROUTES: Final = (
    PacketRoute('board', '198.18.0.1', 443, (TrafficShare('board', 1),)),
    PacketRoute('proof', '198.18.0.2', 443, (TrafficShare('proof', 1),)),
    PacketRoute('spare', '198.18.0.3', 443, (TrafficShare('board', 1),)),
)


def make_canonical(packet: bytes) -> bytes:
    """Return a packet without what programs may change."""
    octets = bytearray(packet)
    octets[_ECHO] = bytes(4)
    octets[_PAD] = bytes(3)
    octets[_FLAGS] &= ~_BOUNCED
    return bytes(octets)


class Attempt(NamedTuple):
    """One request of a caller, and whether it was answered in time."""

    began: float
    served: bool
    route: str


class Truth:
    """The books of all stand-ins; everything runs in one thread."""

    def __init__(self, config_seconds: float = CONFIG_SECONDS) -> None:
        """Start without any event.

        Changes and drains must be in force within ``config_seconds``.
        """
        self.config_seconds = config_seconds
        #: Packets as callers and as upstreams wrote them.
        self.from_callers: set[bytes] = set()
        self.from_upstreams: set[bytes] = set()
        #: Flows that a living upstream holds open, and which one.
        self.open_flows: dict[bytes, str] = {}
        #: The services to which some table has sent each route.
        self.allowed: set[tuple[str, str]] = set()
        #: When each route was dropped last, and when added.
        self.dropped: dict[str, float] = {}
        self.added: dict[str, float] = {}
        #: When each upstream's entry said that it leaves.
        self.draining: dict[str, float] = {}
        #: When the zone was taken out of service that no fault brings back.
        self.zone_left: tuple[str, float] = ('', float('inf'))
        #: When the last fault ended; none is under way after that.
        self.calm_since = float('inf')
        self.attempts: list[Attempt] = []
        self.resets = 0
        self.broken: list[str] = []

    def report(self, promise: str, **fields: object) -> None:
        """Record a broken promise."""
        self.broken.append(f'{promise} at {time.monotonic():.3f}: {fields}')

    def allow(self, route: PacketRoute) -> None:
        """Record that a table sends a route to its services."""
        pairs = ((route.name, share.service) for share in route.shares)
        self.allowed.update(pairs)

    @property
    def is_settled(self) -> bool:
        """Return whether promises with a time bound hold now."""
        return time.monotonic() - self.calm_since > SETTLED_SECONDS

    def check_at_upstream(
        self,
        packet: bytes,
        upstream: str,
        service: str,
        *,
        opens: bool,
    ) -> None:
        """Check a packet that an upstream got and does not bounce."""
        if make_canonical(packet) not in self.from_callers:
            self.report('packet changed or invented', upstream=upstream)
        if not opens:
            return
        route = _find_route(packet)
        if route is None or (route.name, service) not in self.allowed:
            self.report('flow at another service', upstream=upstream)
            return
        now = time.monotonic()
        settled = self.is_settled
        if settled and route.shares[0].service != service:
            # The table has long been as it was at first.
            self.report('flow at a former service', upstream=upstream)
        dropped = self.dropped.get(route.name, float('inf'))
        if settled and now - dropped > self.config_seconds:
            self.report('flow of a dropped route', since=now - dropped)
        left = self.draining.get(upstream, float('inf'))
        if settled and now - left > self.config_seconds:
            self.report('new flow at one that leaves', since=now - left)

    def check_zone(self, zone: str) -> None:
        """Check a new flow at an upstream of an availability zone."""
        left, since = self.zone_left
        waited = time.monotonic() - since
        if zone == left and self.is_settled and waited > self.config_seconds:
            self.report('new flow in a zone that was left', since=waited)

    def check_at_caller(self, packet: bytes) -> None:
        """Check a packet that a caller got and that is no reset of ours."""
        if make_canonical(packet) not in self.from_upstreams:
            self.report('answer changed or invented', octets=packet[:34].hex())

    def check_reset(self, key: bytes, route: str) -> None:
        """Check a reset that a caller took for its open flow."""
        self.resets += 1
        holder = self.open_flows.get(key)
        if holder is not None and route not in self.dropped:
            self.report('living flow reset', flow=key.hex(), holder=holder)

    def check_refusal(self, route: str) -> None:
        """Check a reset of an opening packet while its route is in force."""
        if route in self.dropped:
            return
        added = self.added.get(route, 0)
        now = time.monotonic()
        # Of a service with several upstreams, and without load.
        if self.is_settled and now - added > self.config_seconds:
            self.report('new flow refused', route=route)


def _find_route(packet: bytes) -> PacketRoute | None:
    host = '.'.join(str(octet) for octet in reversed(packet[10:14]))
    return next((route for route in ROUTES if route.host == host), None)
