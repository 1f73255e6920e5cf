"""Capacity of an upstream, and early refusal of requests that exceed it."""

from keelgap_agent.packets.room.estimates import Room
from keelgap_agent.packets.room.order import choose_under_pressure
from keelgap_agent.packets.room.verdicts import (
    NO_TIME,
    compute_room_ms,
    lacks_time,
)

__all__ = (
    'NO_TIME',
    'Room',
    'choose_under_pressure',
    'compute_room_ms',
    'lacks_time',
)
