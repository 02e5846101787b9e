"""What was sent, answered and run: the file `record.txt` of a case."""

import time
from pathlib import Path


class Record:
    """The lines of a record, each with the seconds since it began."""

    def __init__(self, path: Path):
        self.started_s = time.monotonic()
        self.file = path.open('w', encoding='utf-8')
        self.runs: dict[str, list[tuple[str, str, float]]] = {}

    def write(self, what: str, *words: str, **fields: object) -> None:
        """Write a line; keep what a replica ran, by request ID."""
        at_s = time.monotonic() - self.started_s
        if what == 'run':
            request_id, replica_id, service = words
            self.runs.setdefault(request_id, []).append((replica_id, service, at_s))
        parts = [f'{at_s:9.4f}', what, *words]
        parts.extend(f'{name}={value}' for name, value in fields.items())
        self.file.write(' '.join(parts) + '\n')

    def close(self) -> None:
        """Close the file."""
        self.file.close()
