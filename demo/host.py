"""
Process that hosts the stand-in replicas of one back end.

Reads one JSON command a line on standard input and writes one JSON reply a line.
"""

import sys
import time
import zlib
from pathlib import Path

import msgspec

from beechbridge.document import check_document
from beechbridge.failures import Failure
from beechbridge.inventory import parse_inventory
from beechbridge.models import ShardMap
from beechbridge.rules import build_document, parse_rules

from .upstream import Behaviour, Index, ReplicaServer

ROW_COUNT = 400


class BackEndHost:
    """All replicas of one back end."""

    __slots__ = ('index', 'replicas')

    def __init__(
        self, inventory_path: Path, rules_path: Path, back_end: str, part: int, parts: int
    ):
        rows = parse_inventory(inventory_path.read_text(), str(inventory_path))
        rules = parse_rules(rules_path.read_text(), str(rules_path))
        for value in (rows, rules):
            if isinstance(value, Failure):
                raise SystemExit(value.detail)
        configuration = check_document(build_document(rows, rules, 1))
        self.index = Index(configuration.back_ends[back_end].shard_maps, ROW_COUNT)
        self.replicas: dict[str, ReplicaServer] = {}
        for number, row in enumerate(rows):
            if row.back_end != back_end or hash_part(row.service, parts) != part:
                continue
            server = ReplicaServer(
                self.index,
                row.service,
                row.slots,
                row.connection_limit,
                row.connection_cost_ms,
                Behaviour(),
                seed=number,
            )
            server.start()
            self.replicas[row.replica] = server

    def obey(self, command: dict) -> dict:
        """Run one command."""
        name = command['command']
        if name == 'ports':
            return {replica_id: server.port for replica_id, server in self.replicas.items()}
        if name == 'executions':
            return dict(self.index.executions)
        if name == 'advance':
            return {'newest': self.index.advance()}
        if name == 'behave':
            for replica_id in command.get('replicas') or self.replicas:
                if replica_id not in self.replicas:
                    continue
                for field, value in command['fields'].items():
                    setattr(self.replicas[replica_id].behaviour, field, value)
            return {}
        if name == 'silence_open':
            for server in self.replicas.values():
                server.behaviour.silent_before_s = time.monotonic()
            return {}
        if name == 'add_map':
            shard_map = msgspec.convert(command['map'], ShardMap)
            self.index.shard_maps.insert(0, (command['first_snapshot'], shard_map))
            return {}
        if name == 'ran':
            asked = set(command['request_ids'])
            ran = [server.seen_requests & asked for server in self.replicas.values()]
            return {'ran': sorted(set().union(*ran))}
        if name == 'restart_cold':
            self.replicas[command['replica']].restart_cold()
            return {}
        if name == 'kill':
            self.replicas[command['replica']].kill()
            return {}
        return self.count()

    def count(self) -> dict:
        """Return what the replicas counted."""
        totals = {'connection_overruns': 0, 'newest': self.index.newest}
        for server in self.replicas.values():
            totals['connection_overruns'] += server.refused_connections
            for key, value in server.counts.items():
                totals[key] = totals.get(key, 0) + value
        return totals


def hash_part(service: str, parts: int) -> int:
    """Return which of several processes hosts a service."""
    return zlib.crc32(service.encode()) % parts


def main() -> None:
    """Serve until standard input ends."""
    inventory_path, rules_path, back_end, part, parts = sys.argv[1:6]
    paths = (Path(inventory_path), Path(rules_path))
    host = BackEndHost(*paths, back_end, int(part), int(parts))
    for line in sys.stdin:
        reply = host.obey(msgspec.json.decode(line))
        sys.stdout.write(msgspec.json.encode(reply).decode() + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
