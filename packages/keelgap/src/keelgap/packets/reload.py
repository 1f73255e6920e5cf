"""Reload of the settings file on a signal or when it changes."""

import os
from collections.abc import Callable
from typing import Any, Final, Generic, TypeVar

from keelgap.conf import load_settings
from keelgap.exceptions import KeelgapError
from keelgap.runtime.json_log import JsonLog
from keelgap.runtime.loop import EventLoop

__all__ = ('SettingsWatcher',)

#: Interval between checks of the file.  The platform may reuse an address
#: after 2 s, so a changed service must be applied earlier.
_POLL_SECONDS: Final = 0.5

_SettingsT = TypeVar('_SettingsT', bound=tuple[Any, ...])


class SettingsWatcher(Generic[_SettingsT]):
    """Reload the settings file on request and when it changes.

    An invalid file leaves the settings in force unchanged.
    """

    def __init__(
        self,
        path: str,
        settings: _SettingsT,
        lines: JsonLog,
        on_change: Callable[[_SettingsT], tuple[str, ...]],
    ) -> None:
        """Initialize with the settings in force.

        ``on_change`` is called with changed settings; it returns the names of
        those that it applied without a restart.
        """
        self.path = path
        self.settings = settings
        self.lines = lines
        self.on_change = on_change
        self.file_version = self._stat_file()

    def start(self, loop: EventLoop) -> None:
        """Start to check the file periodically."""
        loop.call_every(_POLL_SECONDS, self.check)

    def check(self) -> None:
        """Reload if the file was modified or replaced."""
        file_version = self._stat_file()
        if file_version != self.file_version:
            self.file_version = file_version
            self.reload()

    def reload(self) -> None:
        """Load the file, apply changed settings and log the result.

        The settings in force are kept if the file is invalid.
        """
        try:
            new_settings = load_settings(self.path, type(self.settings))
        except KeelgapError as error:
            self.lines.log('reload_refused', code=error.code, error=str(error))
            return
        changed = _list_changed_settings(self.settings, new_settings)
        self.settings = new_settings
        applied = self.on_change(new_settings) if changed else ()
        self.lines.log(
            'reloaded',
            changed=changed,
            needs_restart=[name for name in changed if name not in applied],
        )

    def _stat_file(self) -> tuple[int, int, int]:
        """Return the time, size and inode of the file; zeros on error."""
        try:
            status = os.stat(self.path)
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def _list_changed_settings(
    before: tuple[Any, ...],
    after: tuple[Any, ...],
) -> list[str]:
    """Return the names, as section.name, of settings whose values differ."""
    sections: tuple[str, ...] = getattr(before, '_fields', ())
    return [
        f'{section}.{name}'
        for section, old, new in zip(sections, before, after, strict=True)
        for name in old._fields
        if getattr(old, name) != getattr(new, name)
    ]
