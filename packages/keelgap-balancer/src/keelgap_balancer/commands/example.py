"""Commented example files that work, and new keys for a fleet."""

import secrets
from importlib.resources import files
from pathlib import Path
from typing import Final

import zmq
from fire.decorators import SetParseFn

from keelgap.routing.connection_ids import CONNECTION_ID_KEY_LENGTH

__all__ = ('Example', 'make_keys')

_MAC_KEY_LENGTH: Final = 32
_PRIVATE_FILE_MODE: Final = 0o600


class Example:
    """Print a commented example file."""

    def settings(self) -> str:
        """Print an example of balancer settings."""
        return _read_example('balancer.ini')

    def agent_settings(self) -> str:
        """Print an example of agent settings."""
        return _read_example('agent.ini')

    def table(self) -> str:
        """Print an example of a table with two services."""
        return _read_example('table.json')

    @SetParseFn(str)
    def keys(self, directory: str) -> None:
        """Generate the keys of a fleet in a directory."""
        make_keys(Path(directory))


def _read_example(name: str) -> str:
    """Return the text of an example file of this package."""
    return files('keelgap_balancer').joinpath('examples', name).read_text()


def make_keys(directory: Path) -> None:
    """Generate the keys that all processes of a fleet share."""
    public, secret = zmq.curve_keypair()
    texts = {
        'connection-ids-first.key': secrets.token_hex(CONNECTION_ID_KEY_LENGTH),
        'mac-first.key': secrets.token_hex(_MAC_KEY_LENGTH),
        'curve-public.key': public.decode(),
        'curve-secret.key': secret.decode(),
    }
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in texts.items():
        path = directory / name
        path.touch(mode=_PRIVATE_FILE_MODE)
        path.write_text(f'{text}\n', 'utf-8')
