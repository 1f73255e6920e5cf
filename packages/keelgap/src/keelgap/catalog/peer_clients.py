"""HTTP clients of the peers from which catalogs are fetched."""

from collections.abc import Callable, Collection

from keelgap.addresses import Address
from keelgap.catalog import defaults
from keelgap.runtime.http import HttpClient
from keelgap.runtime.loop import EventLoop

__all__ = ('PeerClients',)


class PeerClients:
    """Clients by peer, of which few stay connected."""

    def __init__(self, loop: EventLoop) -> None:
        """Initialize without any client."""
        self.loop = loop
        #: Creates the client of a peer.
        self.make_client: Callable[[EventLoop, Address], HttpClient]
        self.make_client = HttpClient
        #: Clients by peer, the latest used last.
        self.clients: dict[Address, HttpClient] = {}

    def get(self, peer: Address, pending: Collection[Address]) -> HttpClient:
        """Return the client of a peer; close the one unused for longest.

        Those of ``pending`` peers, which are to answer, are not closed.
        """
        client = self.clients.pop(peer, None)
        client = client or self.make_client(self.loop, peer)
        self.clients[peer] = client
        unused = [one for one in self.clients if one not in pending]
        if len(self.clients) > defaults.MAX_PEER_FETCHES and unused:
            self.clients.pop(unused[0]).close()
        return client
