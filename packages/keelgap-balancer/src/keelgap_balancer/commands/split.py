"""Split a table that exceeds the configuration service's size limit."""

import sys
from pathlib import Path

from keelgap.exceptions import TableRefused
from keelgap.process import EXIT_FAULTS
from keelgap.table.loader import load_document_table
from keelgap.table.parts import split_table

__all__ = ('split',)


def split(path: str, directory: str, prefix: str) -> int:
    """Write the parts and the manifest of a table; return the exit status."""
    target = Path(directory)
    try:
        content = Path(path).read_bytes()
        load_document_table(content)
    except (OSError, TableRefused) as error:
        print(error, file=sys.stderr)  # noqa: WPS421
        return EXIT_FAULTS
    split_result = split_table(content, prefix)
    target.mkdir(parents=True, exist_ok=True)
    for key, part in split_result.parts.items():
        (target / key).write_bytes(part)
    (target / 'manifest.json').write_bytes(split_result.manifest)
    print(f'{len(split_result.parts)} parts in {directory}')  # noqa: WPS421
    return 0
