"""Print commented examples that work, and make keys for a fleet."""

import secrets
from importlib.resources import files
from pathlib import Path
from typing import Final

import zmq
from fire.decorators import SetParseFn

from keelgap.routing.connection_ids import KEY_LENGTH

__all__ = ('Example', 'make_keys')

_MAC_KEY_LENGTH: Final = 32
_PRIVATE: Final = 0o600


class Example:
    """Print a commented file to start from."""

    def settings(self) -> str:
        """Print the settings of a balancer."""
        return _read('balancer.ini')

    def agent_settings(self) -> str:
        """Print the settings of an agent."""
        return _read('agent.ini')

    def table(self) -> str:
        """Print a table with two services."""
        return _read('table.json')

    @SetParseFn(str)
    def keys(self, directory: str) -> None:
        """Write fresh keys for a fleet into a directory."""
        make_keys(Path(directory))


def _read(name: str) -> str:
    return files('keelgap_balancer').joinpath('examples', name).read_text()


def make_keys(directory: Path) -> None:
    """Write the keys that all processes of a fleet share."""
    public, secret = zmq.curve_keypair()
    texts = {
        'connection-ids-first.key': secrets.token_hex(KEY_LENGTH),
        'mac-first.key': secrets.token_hex(_MAC_KEY_LENGTH),
        'curve-public.key': public.decode(),
        'curve-secret.key': secret.decode(),
    }
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in texts.items():
        path = directory / name
        path.touch(mode=_PRIVATE)
        path.write_text(f'{text}\n', 'utf-8')
