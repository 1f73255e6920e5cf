"""The record of one run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, path: Path, began: float | None = None) -> None:
        self.file = path.open('w', encoding='utf-8')
        self.began = time.monotonic() if began is None else began
        self.broken: list[str] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f'{self.now:8.3f} {text}\n')

    def break_rule(self, text: str) -> None:
        """Write that the rule was broken here."""
        self.broken.append(text)
        self.write(f'BROKEN {text}')

    def close(self) -> None:
        """Close the file."""
        self.file.close()
