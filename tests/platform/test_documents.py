"""The store's documents, well formed and not."""

import json
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.catalog.models import Entry, Share
from keelgap_platform.documents import (
    MalformedDocument,
    decode_routes,
    decode_upstream,
)

ROUTES = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'a',
            'Host': '198.18.0.1',
            'Prefix': '/8080/',
            'SloMs': 283,
            'TimeoutMs': 2500,
            'Priority': 1,
            'Service': 'board',
        },
        {
            'Name': 'b',
            'Host': '198.18.0.1',
            'Prefix': '/8443/',
            'SloMs': 225,
            'Priority': 2,
            'Backends': [
                {'Service': 'board', 'Weight': 90},
                {'Service': 'proof', 'Weight': 10},
            ],
        },
    ],
    'Limits': {'IdleTimeoutMs': 15000},
}
UPSTREAM = {
    'Service': 'board',
    'Address': '10.128.0.9:8080',
    'Zone': 'salon-a',
    'Concurrency': 3,
    'State': 'ready',
    'WarmupLeftMs': 1500,
}


def make_entry(document: Any) -> Entry:
    """Return an entry with a JSON document."""
    return Entry(json.dumps(document).encode(), 1)


class DocumentTests(TestCase):
    """What is decoded, and what is refused whole."""

    def test_routes_are_decoded(self) -> None:
        """A route goes to one service, or to several by weight."""
        routes = decode_routes(make_entry(ROUTES))
        self.assertEqual(routes.version, 7)
        self.assertEqual(routes.idle_seconds, 15)
        first, second = routes.routes
        self.assertEqual(first.port, 8080)
        self.assertEqual(first.shares, (Share('board', 1),))
        self.assertEqual(first.aim_seconds, 0.283)
        self.assertEqual(first.timeout_seconds, 2.5)
        # A route may state none.
        self.assertEqual(second.timeout_seconds, 60)
        self.assertEqual(
            second.shares,
            (Share('board', 90), Share('proof', 10)),
        )

    def test_upstream_is_decoded(self) -> None:
        """Its id is the end of its key."""
        upstream = decode_upstream('servers/i-1', make_entry(UPSTREAM))
        self.assertEqual(upstream.upstream_id, 'i-1')
        self.assertEqual(upstream.state, 'active')
        self.assertEqual(upstream.warm_up_seconds, 1.5)
        draining = {**UPSTREAM, 'State': 'draining'}
        later = decode_upstream('servers/i-1', make_entry(draining))
        self.assertEqual(later.state, 'draining')

    def test_documents_without_a_field_are_refused(self) -> None:
        """Whichever field it is."""
        for name in ('Version', 'Routes', 'Limits'):
            document = {**ROUTES}
            document.pop(name)
            with self.subTest(name), self.assertRaises(MalformedDocument):
                decode_routes(make_entry(document))
        for name in ('Service', 'Address', 'Zone', 'Concurrency', 'State'):
            row = {**UPSTREAM}
            row.pop(name)
            with self.subTest(name), self.assertRaises(MalformedDocument):
                decode_upstream('servers/i-1', make_entry(row))

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_octets_that_are_no_document_are_refused(
        self,
        octets: bytes,
    ) -> None:
        """By type, whatever they are."""
        with self.assertRaises(MalformedDocument):
            decode_routes(Entry(octets, 1))
        with self.assertRaises(MalformedDocument):
            decode_upstream('servers/i-1', Entry(octets, 1))
