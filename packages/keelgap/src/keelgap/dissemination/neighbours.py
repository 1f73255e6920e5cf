"""Which processes read the service, and which talk to which."""

from collections.abc import Iterable

from keelgap.addresses import Address, pack_address
from keelgap.dissemination import defaults
from keelgap.dissemination.state import DisseminationIdentity
from keelgap.instances import Instance, InstanceList
from keelgap.routing.rendezvous import Weighted, rank

__all__ = ('choose_neighbours', 'is_reader')


def _rank_instances(
    key: bytes,
    instances: Iterable[Instance],
    count: int,
) -> list[Address]:
    members = (
        (Weighted(int.from_bytes(pack_address(one.control)), 1), one.control)
        for one in instances
    )
    return rank(key, members, count)


def is_reader(
    identity: DisseminationIdentity,
    instances: InstanceList,
) -> bool:
    """Return whether this process is to read for its availability zone.

    All processes with the same list agree; with different lists some more
    read for a while, which costs reads and nothing else.
    """
    zone = identity.availability_zone
    members = [
        one
        for one in instances.instances
        if one.availability_zone == zone and one.state == 'live'
    ]
    chosen = _rank_instances(zone.encode(), members, defaults.READER_COUNT)
    return identity.control in chosen


def choose_neighbours(
    identity: DisseminationIdentity,
    instances: InstanceList,
) -> tuple[Address, ...]:
    """Return the control addresses of a bounded number of neighbours."""
    key = pack_address(identity.control)
    others = [
        one
        for one in instances.instances
        if one.control != identity.control and one.state == 'live'
    ]
    zone = identity.availability_zone
    local = [one for one in others if one.availability_zone == zone]
    remote = [one for one in others if one.availability_zone != zone]
    return (
        *_rank_instances(key, local, defaults.LOCAL_NEIGHBOURS),
        *_rank_instances(key, remote, defaults.REMOTE_NEIGHBOURS),
    )
