"""Capacity of an upstream, and early refusal of requests that exceed it."""

from keelgap_agent.packets.capacity.deadlines import (
    NO_TIME,
    cannot_be_served,
    estimate_start_ms,
)
from keelgap_agent.packets.capacity.estimates import CapacityEstimate
from keelgap_agent.packets.capacity.order import choose_under_overload

__all__ = (
    'NO_TIME',
    'CapacityEstimate',
    'choose_under_overload',
    'estimate_start_ms',
    'cannot_be_served',
)
