"""Notice that the settings file changed, with or without a signal."""

import os
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from keelgap.conf import load_settings
from keelgap.exceptions import KeelgapError
from keelgap.runtime.lines import LogLines
from keelgap.runtime.loop import EventLoop

__all__ = ('SettingsWatch',)

#: Pause between looks at the file.  The platform may use an address again
#: after 2 s, so a changed service must be known before.
_LOOK_SECONDS: Final = 0.5

_SettingsT = TypeVar('_SettingsT', bound=tuple[Any, ...])


class SettingsWatch(Generic[_SettingsT]):
    """The settings in force; a bad file changes nothing."""

    def __init__(
        self,
        path: str,
        settings: _SettingsT,
        lines: LogLines,
        on_change: Callable[[_SettingsT], tuple[str, ...]],
    ) -> None:
        """Tell on_change of later settings; it returns what it applied."""
        self.path = path
        self.settings = settings
        self.lines = lines
        self.on_change = on_change
        self.seen = self._look()

    def start(self, loop: EventLoop) -> None:
        """Look at the file from time to time."""
        loop.call_every(_LOOK_SECONDS, self.check)

    def check(self) -> None:
        """Read the file again if it is another one."""
        seen = self._look()
        if seen != self.seen:
            self.seen = seen
            self.reload()

    def reload(self) -> None:
        """Take the file as it is now, or keep what is in force."""
        try:
            later = load_settings(self.path, type(self.settings))
        except KeelgapError as error:
            self.lines.tell('reload_refused', code=error.code, error=str(error))
            return
        changed = _list_changes(self.settings, later)
        self.settings = later
        applied = self.on_change(later) if changed else ()
        self.lines.tell(
            'reloaded',
            changed=changed,
            needs_restart=[name for name in changed if name not in applied],
        )

    def _look(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def _list_changes(
    before: tuple[Any, ...],
    after: tuple[Any, ...],
) -> list[str]:
    """Return the names, with their sections, whose values differ."""
    sections: tuple[str, ...] = getattr(before, '_fields', ())
    return [
        f'{section}.{name}'
        for section, old, new in zip(sections, before, after, strict=True)
        for name in old._fields
        if getattr(old, name) != getattr(new, name)
    ]
