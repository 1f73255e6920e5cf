"""The reference pages are complete, and the intro's commands work."""

import re
import subprocess  # noqa: S404
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import get_type_hints
from unittest import TestCase

from keelgap.catalog import defaults as catalog_defaults
from keelgap.dissemination import defaults as dissemination_defaults
from keelgap.table.models import ClassRow, ServiceRow, UpstreamRow
from keelgap.wire import exceptions
from keelgap_agent import defaults as agent_defaults
from keelgap_agent.conf import AgentSettings
from keelgap_agent.packets import defaults as agent_packet_defaults
from keelgap_agent.packets.conf import AgentPacketSettings
from keelgap_agent.requests.problems import PROBLEM_TYPES
from keelgap_balancer import defaults as balancer_defaults
from keelgap_balancer.conf import BalancerSettings
from keelgap_balancer.packets import defaults as balancer_packet_defaults
from keelgap_balancer.packets.conf import BalancerPacketSettings

ROOT = Path(__file__).parents[2]
DOCS = ROOT / 'docs'


class ReferenceTests(TestCase):
    """What the code knows stands in docs/ref."""

    def test_every_setting_is_documented(self) -> None:
        """Each name of each section."""
        page = (DOCS / 'ref' / 'settings.md').read_text('utf-8')
        for settings_type in (BalancerSettings, AgentSettings):
            for section, section_type in get_type_hints(settings_type).items():
                self.assertIn(f'## [{section}]', page)
                for name in section_type._fields:
                    self.assertIn(f'| `{name}` |', page)

    def test_every_column_is_documented(self) -> None:
        """Each column of each row type."""
        page = (DOCS / 'ref' / 'table.md').read_text('utf-8')
        for row_type in (ServiceRow, ClassRow, UpstreamRow):
            for name in get_type_hints(row_type):
                self.assertIn(f'| `{name}` |', page)

    def test_every_problem_and_drop_reason_is_documented(self) -> None:
        """Callers and operators find each name."""
        problems = (DOCS / 'ref' / 'problems.md').read_text('utf-8')
        for kind in PROBLEM_TYPES:
            self.assertIn(f'| `{kind.slug}` | {int(kind.status)} |', problems)
        metrics = (DOCS / 'ref' / 'metrics.md').read_text('utf-8')
        for name in exceptions.__all__:
            code = getattr(exceptions, name).code
            if code != 'wire':
                self.assertIn(f'`{code}`', metrics)

    def test_every_default_is_exported(self) -> None:
        """The documented modules hold no hidden constant."""
        modules = (agent_defaults, balancer_defaults, dissemination_defaults)
        for module in modules:
            names = {name for name in module.__dict__ if name.isupper()}
            self.assertEqual(names, set(module.__all__))

    def test_commands_of_the_intro_work(self) -> None:
        """Each shell block runs to its end in an empty directory."""
        page = (DOCS / 'intro' / 'first-table-edit.md').read_text('utf-8')
        blocks = re.findall('```sh\n(.*?)```', page, re.DOTALL)
        self.assertTrue(blocks)
        with TemporaryDirectory() as directory:
            bin_path = str(Path(sys.executable).parent)
            script = ''.join(blocks).replace('.venv/bin', bin_path)
            done = subprocess.run(  # noqa: S602
                ['bash', '-euc', script],
                cwd=directory,
                capture_output=True,
                text=True,
                timeout=60,
                check=False,
            )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn('no faults; revision 1', done.stdout)
        self.assertIn("did you mean 'weight'?", done.stderr)


class PacketReferenceTests(TestCase):
    """What the packet programs know stands in docs/ref, too."""

    def test_every_setting_is_documented(self) -> None:
        """Each name of each section."""
        page = (DOCS / 'ref' / 'settings.md').read_text('utf-8')
        for settings_type in (BalancerPacketSettings, AgentPacketSettings):
            for section, section_type in get_type_hints(settings_type).items():
                self.assertIn(f'## [{section}]', page)
                for name in section_type._fields:
                    self.assertIn(f'| `{name}` |', page)

    def test_every_event_is_documented(self) -> None:
        """Those that are logged, and those that are only counted."""
        pages = ''.join(
            (DOCS / 'ref' / name).read_text('utf-8')
            for name in ('logs.md', 'metrics.md')
        )
        sources = [
            *ROOT.glob('packages/*/src/*/packets/**/*.py'),
            *ROOT.glob('packages/keelgap/src/keelgap/catalog/*.py'),
        ]
        self.assertGreater(len(sources), 20)
        found = set()
        for source in sources:
            text = source.read_text('utf-8')
            calls = r"(?:Decided|log|log_decision|count)\(\s*'([a-z_]+)'"
            found.update(re.findall(calls, text))
            # A reason for giving a flow back is the name of its event.
            found.update(re.findall("'(miss_[a-z_]+)'", text))
        self.assertGreater(len(found), 25)
        for name in found:
            with self.subTest(name):
                self.assertIn(f'`{name}`', pages)

    def test_every_gauge_is_documented(self) -> None:
        """Of both programs."""
        page = (DOCS / 'ref' / 'metrics.md').read_text('utf-8')
        for source in ROOT.glob('packages/*/src/*/packets/server.py'):
            text = source.read_text('utf-8')
            block = text.partition('def _list_gauges')[2].partition('    def ')
            for name in re.findall("'([a-z_]+)':", block[0]):
                self.assertIn(f'`keelgap_{name}`', page)

    def test_every_default_is_exported(self) -> None:
        """The documented modules hold no hidden constant."""
        modules = (
            agent_packet_defaults,
            balancer_packet_defaults,
            catalog_defaults,
        )
        for module in modules:
            names = {name for name in module.__dict__ if name.isupper()}
            self.assertEqual(names, set(module.__all__))
