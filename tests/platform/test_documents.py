"""The store's documents, well formed and not."""

import json
import os
from contextlib import suppress
from typing import Any
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.catalog.models import Entry, ServiceLimits, TrafficShare
from keelgap_platform.documents import (
    decode_evacuation,
    decode_routes,
    decode_upstream,
)
from keelgap_platform.fields import MalformedDocument
from keelgap_platform.samples import (
    make_routes_document,
    make_upstream_document,
)
from tests.packets.building import BOARD, PROOF, make_upstream

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
    'Services': [
        {'Name': 'board', 'WarmupS': 2.0, 'WarmupPerS': 2.5},
        {'Name': 'proof'},
    ],
    'Limits': {'IdleTimeoutMs': 15000},
}
UPSTREAM: dict[str, Any] = {
    'Service': 'board',
    'Address': '10.128.0.9:8080',
    'Zone': 'salon-a',
    'Version': 'v1',
    'Concurrency': 3,
    'State': 'ready',
    'WarmupLeftMs': 1500,
    'Seq': 4,
}


def make_entry(document: Any) -> Entry:
    """Return an entry with a JSON document."""
    return Entry(json.dumps(document).encode(), 1)


NAN = float('nan')
INFINITY = float('inf')
#: What each field of an upstream's report must not hold.
WRONG_FIELDS: dict[str, tuple[Any, ...]] = {
    'Service': (7, ['x'], '', None, 'x' * 5000, True),
    'Address': (
        7,
        None,
        '10.0.0.1',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:-1',
        '10.0.0:80',
        '0.0.0.0:80',
        '255.255.255.255:80',
        '224.0.0.1:80',
        'host:80',
        '10.0.0.1\x00:80',
        '10.0.0.1:\u0663',
    ),
    'Zone': ('', 5, None, ['a']),
    'Version': (1, '', None),
    'Concurrency': ('2', 0, -1, 2.0, True, 10**9, None, NAN),
    'State': ('zombie', 5, '', None, 'Ready'),
    'WarmupLeftMs': (None, '0', -1, True, INFINITY, NAN, 1e300),
    'Seq': (None, 1.5, -1, False, 'x'),
    'born': (None, 1.5, '1', -1, True, 10**400),
}
#: Changed documents that are tried; by hand 10,000.
CASES = int(os.environ.get('KEELGAP_CASES', '300'))


def _nest(parts: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    return st.lists(parts) | st.dictionaries(st.text(), parts)


ANY_JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    _nest,
    max_leaves=5,
)


class DocumentTests(TestCase):
    """What is decoded, and what is refused whole."""

    def test_routes_are_decoded(self) -> None:
        """A route goes to one service, or to several by weight."""
        routes = decode_routes(make_entry(ROUTES))
        self.assertEqual(routes.version, 7)
        self.assertEqual(routes.idle_seconds, 15)
        first, second = routes.routes
        self.assertEqual(first.port, 8080)
        self.assertEqual(first.shares, (TrafficShare('board', 1),))
        self.assertEqual(first.target_seconds, 0.283)
        self.assertEqual(first.timeout_seconds, 2.5)
        limits = {'board': ServiceLimits(2.5), 'proof': ServiceLimits()}
        self.assertEqual(routes.services, limits)
        # A route may state none.
        self.assertEqual(second.timeout_seconds, 60)
        self.assertEqual(
            second.shares,
            (TrafficShare('board', 90), TrafficShare('proof', 10)),
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
        for name in ROUTES:
            document = {**ROUTES}
            document.pop(name)
            with self.subTest(name), self.assertRaises(MalformedDocument):
                decode_routes(make_entry(document))
        for name in UPSTREAM:
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

    def test_values_of_another_type_or_range_are_refused(self) -> None:
        """A boolean is no number, and NaN and infinities are none."""
        for name, values in WRONG_FIELDS.items():
            for wrong in values:
                row = json.dumps({**UPSTREAM, name: wrong}).encode()
                refused = self.assertRaises(MalformedDocument)
                with self.subTest(name, wrong=wrong), refused:
                    decode_upstream('servers/i-1', Entry(row, 1))

    def test_octets_that_break_a_decoder_are_refused(self) -> None:
        """Deep nesting, numbers without a value, half a character."""
        fine = json.dumps(UPSTREAM)
        broken = (
            b'[' * 100000,
            b'{"a":' * 100000,
            fine.replace('1500', '1e999').encode(),
            fine.replace('"Seq": 4', f'"Seq": {"9" * 5000}').encode(),
            fine.replace('board', '\x5cud800').encode(),
            fine.encode('utf-16')[:-1],
        )
        for octets in broken:
            with self.subTest(octets[:40]):
                with self.assertRaises(MalformedDocument):
                    decode_upstream('servers/i-1', Entry(octets, 1))
                with self.assertRaises(MalformedDocument):
                    decode_routes(Entry(octets, 1))

    def test_an_upstream_needs_an_id(self) -> None:
        """An entry under the bare prefix names none."""
        with self.assertRaises(MalformedDocument):
            decode_upstream('servers/', make_entry(UPSTREAM))

    def test_the_start_of_an_upstream_is_part_of_its_identity(self) -> None:
        """Where it is stated; its id alone stands for it elsewhere."""
        first = make_entry({**UPSTREAM, 'born': 1764720000000})
        later = make_entry({**UPSTREAM, 'born': 1764720000001})
        decoded = [
            decode_upstream('servers/i-1', one) for one in (first, later)
        ]
        self.assertNotEqual(decoded[0].identity, decoded[1].identity)
        without = decode_upstream('servers/i-1', make_entry(UPSTREAM))
        self.assertEqual(without.identity, ('i-1', 0))

    def test_a_mark_names_its_zone_whatever_it_holds(self) -> None:
        """The operators' request stands in the key."""
        for octets in (b'{}', b'', b'\xff', b'[' * 100000):
            zone = decode_evacuation('op/evacuate/salon-a', Entry(octets, 1))
            self.assertEqual(zone, 'salon-a')
        for key in ('op/evacuate/', f'op/evacuate/{"z" * 500}'):
            with self.assertRaises(MalformedDocument):
                decode_evacuation(key, Entry(b'{}', 1))

    def test_documents_of_the_standin_are_read(self) -> None:
        """Tests of whole sites write what the platform's writers write."""
        upstream = make_upstream(1)._replace(
            started=5,
            reports=7,
            revision=1,
            warm_up_seconds=1.5,
        )
        entry = make_entry(make_upstream_document(upstream))
        key = f'servers/{upstream.upstream_id}'
        self.assertEqual(decode_upstream(key, entry), upstream)
        document = make_routes_document(3, (BOARD, PROOF), ('board', 'proof'))
        routes = decode_routes(make_entry(document))
        self.assertEqual(routes.routes, (BOARD, PROOF))

    @settings(derandomize=True, deadline=None, max_examples=CASES)
    @given(st.data())
    def test_a_changed_document_is_read_or_refused_by_type(
        self,
        data: st.DataObject,
    ) -> None:
        """Real documents with some parts replaced by any JSON at all."""
        with suppress(MalformedDocument):
            decode_routes(make_entry(_mutate(data, ROUTES)))
        with suppress(MalformedDocument):
            decode_upstream('servers/i-1', make_entry(_mutate(data, UPSTREAM)))


def _mutate(data: st.DataObject, document: Any) -> Any:
    """Return a document in which some parts are others."""
    if data.draw(st.integers(0, 9)) == 0:
        return data.draw(ANY_JSON)
    if isinstance(document, dict):
        return {
            name: _mutate(data, part)
            for name, part in document.items()
            if data.draw(st.integers(0, 19))
        }
    if isinstance(document, list):
        return [_mutate(data, part) for part in document]
    return document
