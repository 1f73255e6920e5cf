"""The platform's list of live and leaving instances, which may be outdated."""

from typing import (
    Any,
    Final,
    Literal,
    NamedTuple,
    NotRequired,
    TypedDict,
)

import msgspec

from keelgap.addresses import Address
from keelgap.exceptions import Fault, TableRefused

__all__ = ('NO_INSTANCES', 'Instance', 'InstanceList', 'InstanceLoader')

Role = Literal['balancer', 'agent']
InstanceState = Literal['live', 'leaving']


class _InstanceRow(TypedDict):
    """Columns of a row of the instance document."""

    name: str
    role: Role
    address: str
    data_port: int
    control_port: int
    availability_zone: str
    state: NotRequired[InstanceState]


class _InstanceDocument(TypedDict):
    """The document that lists the instances of the fleet."""

    revision: int
    #: _InstanceRow objects, each validated when it is first loaded.
    instances: list[Any]


class Instance(NamedTuple):
    """One process of the fleet, as listed by the platform."""

    name: str
    role: Role
    #: UDP address for encapsulated datagrams.
    data: Address
    #: TCP address for control messages (pyzmq).
    control: Address
    availability_zone: str
    state: InstanceState


class InstanceList(NamedTuple):
    """All instances in one revision of the list."""

    revision: int
    instances: tuple[Instance, ...]

    def select_data_addresses(
        self, role: Role, state: InstanceState
    ) -> frozenset[Address]:
        """Return the data addresses of the instances of a role and state."""
        return frozenset(
            instance.data
            for instance in self.instances
            if instance.role == role and instance.state == state
        )


#: The list of a process that has not received one yet.
NO_INSTANCES: Final = InstanceList(0, ())


class InstanceLoader:
    """Convert successive versions of the instance document to InstanceLists.

    As in TableLoader, rows that are the same objects as in the previous
    version are not converted again.
    """

    def __init__(self) -> None:
        """Start without a previous version."""
        #: The last accepted rows; the references keep their ids from being
        #: reused.
        self.accepted_rows: list[object] = []
        self.instances_by_row_id: dict[int, Instance] = {}

    def load(self, decoded: object) -> InstanceList:
        """Convert a decoded document; raise TableRefused if it is invalid."""
        try:
            document = msgspec.convert(decoded, _InstanceDocument)
            instances_by_row_id = {
                id(row): self.instances_by_row_id.get(id(row))
                or _make_instance(row)
                for row in document['instances']
            }
        except msgspec.ValidationError as error:
            raise TableRefused((
                Fault(
                    'keelgap.E016',
                    'instances',
                    str(error),
                    'the platform publishes this list; see docs/ref/table.md',
                ),
            )) from error
        self.instances_by_row_id = instances_by_row_id
        self.accepted_rows = document['instances']
        return InstanceList(
            document['revision'], tuple(instances_by_row_id.values())
        )


def _make_instance(raw: object) -> Instance:
    """Return the instance of a row, or raise an error if it is invalid."""
    row = msgspec.convert(raw, _InstanceRow)
    return Instance(
        row['name'],
        row['role'],
        Address(row['address'], row['data_port']),
        Address(row['address'], row['control_port']),
        row['availability_zone'],
        row.get('state', 'live'),
    )
