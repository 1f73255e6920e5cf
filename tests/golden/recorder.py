"""Record what a reducer was told and what it asked for, one line each."""

from enum import Enum
from typing import Any

import msgspec

from keelgap.addresses import Address

__all__ = ('Recorder',)

#: Names left out of the lines: long, or the same in each.
_QUIET = frozenset(('table', 'instances', 'handshakes', 'caller'))
_LONG = 24


class Recorder:
    """Collect JSON lines of events and effects."""

    def __init__(self, started: float) -> None:
        """Count time from the start of the session."""
        self.started = started
        self.lines: list[str] = []

    def tell(self, text: str) -> None:
        """Write a sentence of the story."""
        self.lines.append(msgspec.json.encode({'story': text}).decode())

    def record(self, who: str, event: Any, effects: tuple[Any, ...]) -> None:
        """Write an event and its effects; timers without effects are left."""
        if type(event).__name__ == 'TimerFired' and not effects:
            return
        seconds = round(event.now - self.started, 2)
        line = {'t': seconds, 'at': who, **_describe(event)}
        line.pop('now', None)
        self.lines.append(msgspec.json.encode(line).decode())
        for effect in effects:
            described = {'at': who, **_describe(effect, 'effect')}
            self.lines.append(f'  {msgspec.json.encode(described).decode()}')

    def get_text(self) -> str:
        """Return the whole session."""
        return '\n'.join((*self.lines, ''))


def _describe(message: Any, kind: str = 'event') -> dict[str, Any]:
    fields = {
        name: _simplify(value)
        for name, value in zip(message._fields, message, strict=True)
        if name not in _QUIET
    }
    return {kind: type(message).__name__, **fields}


def _simplify(value: Any) -> Any:
    match value:
        case Address():
            simple: Any = str(value)
        case Enum():
            simple = value.name.lower()
        case bytes():
            simple = value[:_LONG].hex()
        case str():
            simple = _shorten(value)
        case tuple() if hasattr(value, '_fields'):
            simple = _describe(value, 'kind')
            if not simple.get('payload', True):
                simple.pop('payload')
        case tuple() | list():
            simple = [_simplify(one) for one in value]
        case _:
            simple = round(value, 3) if isinstance(value, float) else value
    return simple


def _shorten(text: str) -> str:
    if len(text) <= _LONG:
        return text
    return f'{text[:6]}...{text[-6:]}'
