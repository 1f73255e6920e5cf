"""Split a long table into parts that fit the configuration service."""

import sys
from pathlib import Path

from keelgap.exceptions import TableRefused
from keelgap.process import EXIT_FAULTS
from keelgap.table.loader import load_document_table
from keelgap.table.parts import split_table

__all__ = ('split',)


def split(path: str, directory: str, prefix: str) -> int:
    """Write the parts and the manifest; return the exit status."""
    target = Path(directory)
    try:
        content = Path(path).read_bytes()
        load_document_table(content)
    except (OSError, TableRefused) as error:
        print(error, file=sys.stderr)  # noqa: WPS421
        return EXIT_FAULTS
    divided = split_table(content, prefix)
    target.mkdir(parents=True, exist_ok=True)
    for key, part in divided.parts.items():
        (target / key).write_bytes(part)
    (target / 'manifest.json').write_bytes(divided.manifest)
    print(f'{len(divided.parts)} parts in {directory}')  # noqa: WPS421
    return 0
