"""Turn the store's entries into a catalog, entry by changed entry.

An entry that cannot be read is as good as absent: it names no upstream, and
what stood under its key before counts no more.  Only routes stay in force
until later ones can be read, since without routes nobody is served.
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
from keelgap.catalog.starts import UpstreamTable

__all__ = ('CatalogBuilder', 'Decoders', 'EntryFault')


class Decoders(NamedTuple):
    """How a platform's entries are read; they raise EntryRefused."""

    #: Key of the entry with the operators' routes.
    routes_key: str
    #: What the keys of upstreams begin with.
    upstream_prefix: str
    decode_routes: Callable[[Entry], RouteSet]
    decode_upstream: Callable[[str, Entry], PacketUpstream]
    #: What the keys begin with that take an availability zone out of service.
    evacuation_prefix: str
    decode_evacuation: Callable[[str, Entry], str]


class EntryFault(NamedTuple):
    """An entry that counts as absent, and why."""

    key: str
    error: EntryRefused


class CatalogBuilder:
    """Keep a catalog in step with entries."""

    def __init__(
        self,
        decoders: Decoders,
        on_faults: Callable[[tuple[EntryFault, ...]], None],
    ) -> None:
        """Report the entries of a change that are refused to on_faults."""
        self.decoders = decoders
        self.on_faults = on_faults
        self.catalog = NO_CATALOG
        #: Upstreams of unknown services included.
        self.upstreams = UpstreamTable()
        #: Zones out of service, and since which revision.
        self.evacuated: dict[str, int] = {}
        #: Ids of upstreams whose service is unknown.
        self.strangers: frozenset[str] = frozenset()

    def update(
        self,
        entries: Mapping[str, Entry],
        keys: Iterable[str],
        revision: int,
        latest_change: int,
        missed: Mapping[str, Entry] = NO_ENTRIES,
    ) -> Catalog:
        """Return the catalog after some keys changed.

        ``missed`` has entries that came and went meanwhile.
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
        known = self._select_known(routes, faults)
        self.catalog = Catalog(
            revision,
            routes,
            known,
            latest_change,
            dict(self.evacuated),
            missed_rows,
        )
        if faults:
            self.on_faults(tuple(faults))
        return self.catalog

    def _update_routes(
        self,
        routes: RouteSet,
        entry: Entry | None,
    ) -> RouteSet:
        """Return the later of two versions; one that went stays in force."""
        if entry is None:
            return routes
        later = self.decoders.decode_routes(entry)
        return later if later.version > routes.version else routes

    def _update_upstream(self, key: str, entry: Entry | None) -> None:
        upstream_id = key.removeprefix(self.decoders.upstream_prefix)
        if entry is None:
            self.upstreams.remove(upstream_id)
            return
        try:
            upstream = self.decoders.decode_upstream(key, entry)
        except EntryRefused:
            self.upstreams.remove(upstream_id)
            raise
        # A report of a former start is refused, and the later one stays.
        self.upstreams.put(upstream)

    def _read_missed(
        self,
        missed: Mapping[str, Entry],
        routes: RouteSet,
        faults: list[EntryFault],
    ) -> tuple[PacketUpstream, ...]:
        """Return the upstreams of known services that came and went."""
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
        if entry is None:
            zone = key.removeprefix(self.decoders.evacuation_prefix)
            self.evacuated.pop(zone, None)
            return
        zone = self.decoders.decode_evacuation(key, entry)
        # Written again, it is still the same evacuation.
        self.evacuated.setdefault(zone, entry.revision)

    def _select_known(
        self,
        routes: RouteSet,
        faults: list[EntryFault],
    ) -> dict[str, PacketUpstream]:
        """Return the upstreams whose service the operators' table has.

        Others come into force with the table that names their service.
        """
        rows = self.upstreams.rows
        services = routes.services
        if not services:
            return dict(rows)
        known = {
            upstream_id: upstream
            for upstream_id, upstream in rows.items()
            if upstream.service in services
        }
        strangers = frozenset(rows.keys() - known.keys())
        prefix = self.decoders.upstream_prefix
        faults.extend(
            EntryFault(f'{prefix}{upstream_id}', UnknownService())
            for upstream_id in sorted(strangers - self.strangers)
        )
        self.strangers = strangers
        return known
