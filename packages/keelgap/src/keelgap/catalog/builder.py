"""Incremental construction of the catalog from the entries of the store.

An entry that cannot be decoded is treated as absent: it names no upstream, and
the previous entry under its key is no longer used.  Routes are the exception;
they stay in force until newer ones can be decoded, because no caller is served
without routes.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from keelgap.catalog.exceptions import EntryRefused, UnknownService
from keelgap.catalog.models import (
    NO_CATALOG,
    NO_ENTRIES,
    Catalog,
    Entry,
    PacketUpstream,
    RouteSet,
)
from keelgap.catalog.upstream_table import UpstreamTable

__all__ = ('CatalogBuilder', 'Decoders', 'EntryFault')


class Decoders(NamedTuple):
    """Keys and decoders of a platform's entries.

    Decoders raise EntryRefused if an entry is invalid.
    """

    #: Key of the entry with the operators' routes.
    routes_key: str
    #: Prefix of the keys of upstreams.
    upstream_prefix: str
    decode_routes: Callable[[Entry], RouteSet]
    decode_upstream: Callable[[str, Entry], PacketUpstream]
    #: Prefix of the keys that take an availability zone out of service.
    evacuation_prefix: str
    #: Returns the name of the availability zone.
    decode_evacuation: Callable[[str, Entry], str]


class EntryFault(NamedTuple):
    """An entry that is treated as absent, and the reason."""

    key: str
    error: EntryRefused


class CatalogBuilder:
    """Builds the catalog and updates it as entries change."""

    def __init__(
        self,
        decoders: Decoders,
        on_faults: Callable[[tuple[EntryFault, ...]], None],
    ) -> None:
        """Initialize an empty catalog.

        ``on_faults`` is called with the entries that an update refused.
        """
        self.decoders = decoders
        self.on_faults = on_faults
        self.catalog = NO_CATALOG
        #: All upstreams, including those of unknown services.
        self.upstreams = UpstreamTable()
        #: Availability zones out of service, and the revision since which
        #: they are.
        self.evacuated: dict[str, int] = {}
        #: Ids of upstreams whose service is unknown.
        self.unknown_service_ids: frozenset[str] = frozenset()

    def update(
        self,
        entries: Mapping[str, Entry],
        keys: Iterable[str],
        revision: int,
        latest_change: int,
        missed: Mapping[str, Entry] = NO_ENTRIES,
    ) -> Catalog:
        """Decode the entries of the changed keys, and return the new catalog.

        ``missed`` contains entries that were written and deleted since the
        previous update.
        """
        faults: list[EntryFault] = []
        routes = self.catalog.routes
        decoders = self.decoders
        for key in keys:
            entry = entries.get(key)
            try:
                if key == decoders.routes_key:
                    routes = self._update_routes(routes, entry)
                elif key.startswith(decoders.upstream_prefix):
                    self._update_upstream(key, entry)
                elif key.startswith(decoders.evacuation_prefix):
                    self._update_evacuation(key, entry)
            except EntryRefused as error:
                faults.append(EntryFault(key, error))
        missed_rows = self._read_missed(missed, routes, faults)
        served = self._select_served(routes, faults)
        self.catalog = Catalog(
            revision,
            routes,
            served,
            latest_change,
            dict(self.evacuated),
            missed_rows,
            unserved=self._select_unserved(),
        )
        if faults:
            self.on_faults(tuple(faults))
        return self.catalog

    def _update_routes(
        self,
        routes: RouteSet,
        entry: Entry | None,
    ) -> RouteSet:
        """Return the routes of an entry if they are newer than those in force.

        The routes in force stay if their entry was deleted.
        """
        if entry is None:
            return routes
        newer = self.decoders.decode_routes(entry)
        return newer if newer.version > routes.version else routes

    def _update_upstream(self, key: str, entry: Entry | None) -> None:
        """Store the upstream of an entry, or remove that of a deleted one.

        An invalid entry removes the upstream and raises EntryRefused.
        """
        upstream_id = key.removeprefix(self.decoders.upstream_prefix)
        if entry is None:
            self.upstreams.remove(upstream_id)
            return
        try:
            upstream = self.decoders.decode_upstream(key, entry)
        except EntryRefused:
            self.upstreams.remove(upstream_id)
            raise
        # Raises StaleStart for a report of an earlier start and keeps the
        # row of the later one.
        self.upstreams.put(upstream)

    def _read_missed(
        self,
        missed: Mapping[str, Entry],
        routes: RouteSet,
        faults: list[EntryFault],
    ) -> tuple[PacketUpstream, ...]:
        """Decode upstreams whose entries were written and then deleted.

        Those whose service is not in the operators' table are left out.
        """
        rows = []
        prefix = self.decoders.upstream_prefix
        for key, entry in missed.items():
            if not key.startswith(prefix):
                continue
            try:
                rows.append(self.decoders.decode_upstream(key, entry))
            except EntryRefused as error:
                faults.append(EntryFault(key, error))
        services = routes.services
        return tuple(
            row for row in rows if not services or row.service in services
        )

    def _update_evacuation(self, key: str, entry: Entry | None) -> None:
        """Record that an availability zone is out of service or is back."""
        if entry is None:
            zone = key.removeprefix(self.decoders.evacuation_prefix)
            self.evacuated.pop(zone, None)
            return
        zone = self.decoders.decode_evacuation(key, entry)
        # An entry that is written again is still the same evacuation.
        self.evacuated.setdefault(zone, entry.revision)

    def _select_served(
        self,
        routes: RouteSet,
        faults: list[EntryFault],
    ) -> dict[str, PacketUpstream]:
        """Return the upstreams whose service is in the operators' table.

        Others come into force with a table that contains their service; each
        is added to the faults once.
        """
        rows = self.upstreams.rows
        services = routes.services
        if not services:
            self.unknown_service_ids = frozenset()
            return dict(rows)
        served = {
            upstream_id: upstream
            for upstream_id, upstream in rows.items()
            if upstream.service in services
        }
        unknown_service_ids = frozenset(rows.keys() - served.keys())
        prefix = self.decoders.upstream_prefix
        faults.extend(
            EntryFault(f'{prefix}{upstream_id}', UnknownService())
            for upstream_id in sorted(
                unknown_service_ids - self.unknown_service_ids
            )
        )
        self.unknown_service_ids = unknown_service_ids
        return served

    def _select_unserved(self) -> dict[str, PacketUpstream]:
        """Return the upstreams whose service is not in the table."""
        rows = self.upstreams.rows
        return {
            upstream_id: rows[upstream_id]
            for upstream_id in self.unknown_service_ids
        }
