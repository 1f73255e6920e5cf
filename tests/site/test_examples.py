"""The examples that ship are free of faults."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from keelgap.conf import load_settings
from keelgap.keys import load_keys
from keelgap.table import load_table
from keelgap_agent.conf import AgentSettings
from keelgap_balancer.commands.example import Example, make_keys
from keelgap_balancer.conf import BalancerSettings

_EXAMPLES = Path(__file__).parents[2] / 'examples'
_SIZES = {
    'marmara': {'board': 7, 'proof': 4},
    'cairo': {'signing': 7, 'archive': 3, 'status': 2},
}


class ExampleTests(TestCase):
    """Files under examples/ and what ``keelgap example`` prints."""

    def test_deployments_have_the_sizes_of_the_brief(self) -> None:
        """Both tables are valid and both settings files load."""
        for name, sizes in _SIZES.items():
            directory = _EXAMPLES / name
            table = load_table((directory / 'table.json').read_bytes())
            counted = {
                service.name: len(table.upstreams[number])
                for number, service in table.services.items()
            }
            self.assertEqual(counted, sizes)
            load_settings(str(directory / 'balancer.ini'), BalancerSettings)
            load_settings(str(directory / 'agent.ini'), AgentSettings)

    def test_printed_examples_work(self) -> None:
        """Settings load with the keys that the example makes."""
        with TemporaryDirectory() as directory:
            keys = Path(directory) / 'keys'
            make_keys(keys)
            for text, settings_type in (
                (Example().settings(), BalancerSettings),
                (Example().agent_settings(), AgentSettings),
            ):
                path = Path(directory) / 'settings.ini'
                path.write_text(text.replace('= keys/', f'= {keys}/'))
                settings = load_settings(str(path), settings_type)
                self.assertEqual(len(load_keys(settings.keys).mac), 1)
        load_table(Example().table().encode())
