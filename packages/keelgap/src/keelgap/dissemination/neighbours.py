"""Choice of the readers and of the neighbours of a process."""

from collections.abc import Iterable

from keelgap.addresses import Address, pack_address
from keelgap.dissemination import defaults
from keelgap.dissemination.state import DisseminationIdentity
from keelgap.instances import Instance, InstanceList
from keelgap.routing.rendezvous import WeightedSeed, rank_members

__all__ = ('choose_neighbours', 'compute_reader_turn')


def _rank_instances(
    key: bytes,
    instances: Iterable[Instance],
    count: int,
) -> list[Address]:
    """Return the control addresses ranked highest for a key, best first."""
    members = (
        (
            WeightedSeed(int.from_bytes(pack_address(instance.control)), 1),
            instance.control,
        )
        for instance in instances
    )
    return rank_members(key, members, count)


def compute_reader_turn(
    identity: DisseminationIdentity,
    instances: InstanceList,
) -> int:
    """Return when this process reads for its availability zone.

    Processes of turn 0 are the readers.  Those of each later turn read if the
    ones before them are lost.  All processes with the same list of instances
    agree on the turns.  While lists differ, more processes may read, which only
    costs more reads.
    """
    zone = identity.availability_zone
    members = [
        instance
        for instance in instances.instances
        if instance.availability_zone == zone and instance.state == 'live'
    ]
    ranked = _rank_instances(zone.encode(), members, len(members))
    if identity.control not in ranked:
        return len(ranked) + 1
    return ranked.index(identity.control) // defaults.READER_COUNT


def choose_neighbours(
    identity: DisseminationIdentity,
    instances: InstanceList,
) -> tuple[Address, ...]:
    """Return the control addresses of the neighbours of this process."""
    key = pack_address(identity.control)
    others = [
        instance
        for instance in instances.instances
        if instance.control != identity.control and instance.state == 'live'
    ]
    zone = identity.availability_zone
    local = [
        instance for instance in others if instance.availability_zone == zone
    ]
    remote = [
        instance for instance in others if instance.availability_zone != zone
    ]
    return (
        *_rank_instances(key, local, defaults.LOCAL_NEIGHBOURS),
        *_rank_instances(key, remote, defaults.REMOTE_NEIGHBOURS),
    )
