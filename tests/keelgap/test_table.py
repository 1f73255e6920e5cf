"""The operators' table: accepted whole, or refused with every fault."""

from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from keelgap.dissemination.documents import (
    UnusableDocument,
    apply_changes,
    compute_changes,
    load_document,
)
from keelgap.exceptions import TableRefused
from keelgap.table import load_table


def make_document(**changes: Any) -> dict[str, Any]:
    """Return a valid document with some names replaced."""
    return {
        'revision': 3,
        'services': [
            {'name': 'board', 'number': 1, 'port': 4430},
            {'name': 'proof', 'number': 2, 'port': 4431},
        ],
        'upstreams': [
            {'name': 'b1', 'service': 'board', 'agent': '127.0.0.1:7001'},
            {'name': 'p1', 'service': 'proof', 'agent': '127.0.0.2:7001'},
        ],
        **changes,
    }


def list_faults(document: object) -> dict[str, str]:
    """Return the ids of all faults by subject."""
    try:
        load_table(msgspec.json.encode(document))
    except TableRefused as refusal:
        return {fault.subject: fault.fault_id for fault in refusal.faults}
    return {}


class CheckTests(TestCase):
    """Faults name their row and column, all at once."""

    def test_valid_table_is_loaded(self) -> None:
        """Rows are grouped by the number of their service."""
        table = load_table(msgspec.json.encode(make_document()))
        self.assertEqual(table.revision, 3)
        self.assertEqual([one.name for one in table.upstreams[2]], ['p1'])

    def test_all_faults_are_told_at_once(self) -> None:
        """One faulty row hides no other."""
        services = [
            {'name': 'board', 'number': 70000, 'port': 1},
            {'name': 'x', 'numbr': 2, 'number': 2, 'port': 'a'},
        ]
        upstreams = [{'name': 'b1', 'service': 'board', 'agent': 'a:1'}, 5]
        faults = list_faults(
            make_document(services=services, upstreams=upstreams, revision=-1),
        )
        self.assertEqual(
            faults,
            {
                'revision': 'keelgap.E004',
                'services[0].number': 'keelgap.E004',
                'services[1].numbr': 'keelgap.E001',
                'services[1].port': 'keelgap.E003',
                'upstreams[1]': 'keelgap.E003',
            },
        )

    def test_relations_between_rows_are_checked(self) -> None:
        """Doubled names, unknown services, bad addresses, nothing active."""
        services = [
            {'name': 'board', 'number': 1, 'port': 1},
            {'name': 'board', 'number': 2, 'port': 1},
        ]
        upstreams = [
            {'name': 'b', 'service': 'board', 'agent': 'x', 'weight': 0},
            {'name': 'c', 'service': 'no', 'agent': '127.0.0.1:1'},
        ]
        faults = list_faults(
            make_document(services=services, upstreams=upstreams),
        )
        self.assertEqual(
            faults,
            {
                'services[1].name': 'keelgap.E011',
                'services[1].port': 'keelgap.E011',
                'upstreams[1].service': 'keelgap.E012',
                'upstreams[0].agent': 'keelgap.E013',
                'services[board]': 'keelgap.E014',
            },
        )

    @settings(derandomize=True, deadline=None)
    @given(
        st.one_of(
            st.binary(max_size=200),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=3)
                    | st.dictionaries(
                        st.sampled_from(
                            (
                                'revision',
                                'services',
                                'upstreams',
                                'name',
                                'port',
                            ),
                        ),
                        inner,
                        max_size=4,
                    )
                ),
                max_leaves=12,
            ).map(msgspec.json.encode),
        ),
    )
    def test_noise_is_refused_with_a_type(self, noise: bytes) -> None:
        """The configuration service may return anything."""
        with self.assertRaises(TableRefused):
            load_table(noise)
        try:
            load_document(noise)
        except UnusableDocument:
            return


names = st.sampled_from(('a', 'b', 'c', 'd'))
rows = st.dictionaries(
    names,
    st.fixed_dictionaries({'weight': st.integers(0, 3)}),
    max_size=4,
).map(lambda by_name: [{'name': key, **row} for key, row in by_name.items()])
documents = st.fixed_dictionaries(
    {'revision': st.integers(0, 9), 'upstreams': rows},
    optional={'classes': st.lists(st.integers(0, 2), max_size=2)},
)


class DeltaTests(TestCase):
    """Differences between versions of a document."""

    @settings(derandomize=True, deadline=None)
    @given(documents, documents)
    def test_changes_lead_to_the_same_document(
        self,
        old: dict[str, Any],
        new: dict[str, Any],
    ) -> None:
        """Applying what was computed gives the same digest."""
        before = load_document(msgspec.json.encode(old))
        after = load_document(msgspec.json.encode(new))
        changed = apply_changes(before, compute_changes(before, after))
        self.assertEqual(changed.version, after.version)
        self.assertEqual(changed.content, after.content)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=100))
    def test_noise_is_no_delta(self, noise: bytes) -> None:
        """Only the typed error is raised."""
        before = load_document(msgspec.json.encode(make_document()))
        with self.assertRaises(UnusableDocument):
            apply_changes(before, noise)
