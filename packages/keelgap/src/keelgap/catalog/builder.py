"""Turn the store's entries into a catalog, entry by changed entry."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from keelgap.catalog.models import (
    NO_CATALOG,
    Catalog,
    Entry,
    PacketUpstream,
    RouteSet,
)
from keelgap.exceptions import KeelgapError

__all__ = ('CatalogBuilder', 'Decoders')


class Decoders(NamedTuple):
    """How a platform's entries are read; they raise KeelgapError."""

    #: Key of the entry with the operators' routes.
    routes_key: str
    #: What the keys of upstreams begin with.
    upstream_prefix: str
    decode_routes: Callable[[Entry], RouteSet]
    decode_upstream: Callable[[str, Entry], PacketUpstream]


class CatalogBuilder:
    """Keep a catalog in step with entries; faulty ones change nothing."""

    def __init__(
        self,
        decoders: Decoders,
        on_fault: Callable[[str, KeelgapError], None],
    ) -> None:
        """Report an entry that cannot be read to on_fault."""
        self.decoders = decoders
        self.on_fault = on_fault
        self.catalog = NO_CATALOG

    def update(
        self,
        entries: Mapping[str, Entry],
        keys: Iterable[str],
        revision: int,
        latest_change: int,
    ) -> Catalog:
        """Return the catalog after some keys changed."""
        routes = self.catalog.routes
        upstreams = dict(self.catalog.upstreams)
        for key in keys:
            entry = entries.get(key)
            try:
                if key == self.decoders.routes_key:
                    routes = self._update_routes(routes, entry)
                elif key.startswith(self.decoders.upstream_prefix):
                    self._update_upstream(upstreams, key, entry)
            except KeelgapError as error:
                self.on_fault(key, error)
        self.catalog = Catalog(revision, routes, upstreams, latest_change)
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

    def _update_upstream(
        self,
        upstreams: dict[str, PacketUpstream],
        key: str,
        entry: Entry | None,
    ) -> None:
        upstream_id = key.removeprefix(self.decoders.upstream_prefix)
        if entry is None:
            upstreams.pop(upstream_id, None)
            return
        upstreams[upstream_id] = self.decoders.decode_upstream(key, entry)
