"""What tests ask of processes that they started."""

import signal
from pathlib import Path

__all__ = ('takes_signal',)


def takes_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or handles a signal by now.

    In its first moments the interpreter takes none.
    """
    text = Path(f'/proc/{pid}/status').read_text('utf-8')
    masks = dict(line.split(':\t', 1) for line in text.splitlines())
    taken = int(masks['SigIgn'], 16) | int(masks['SigCgt'], 16)
    return bool(taken >> (number - 1) & 1)
