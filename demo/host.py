"""
Process that hosts stand-in replicas of one back end.

It reads JSON commands, one per line, from standard input and writes a JSON reply per line.
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
    """The replicas of one back end that this process hosts."""

    __slots__ = ('index', 'replicas')

    def __init__(
        self,
        inventory_path: Path,
        rules_path: Path,
        back_end: str,
        process_number: int,
        process_count: int,
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
            if (
                row.back_end != back_end
                or process_for_service(row.service, process_count) != process_number
            ):
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

    def run_command(self, command: dict) -> dict:
        """Run one command and return its reply."""
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
            requested = set(command['request_ids'])
            ran = [server.seen_requests & requested for server in self.replicas.values()]
            return {'ran': sorted(set().union(*ran))}
        if name == 'restart_cold':
            self.replicas[command['replica']].restart_cold()
            return {}
        if name == 'kill':
            self.replicas[command['replica']].kill()
            return {}
        return self.count()

    def count(self) -> dict:
        """Return the summed counters of the replicas."""
        totals = {'connection_overruns': 0, 'newest': self.index.newest}
        for server in self.replicas.values():
            totals['connection_overruns'] += server.refused_connections
            for key, value in server.counts.items():
                totals[key] = totals.get(key, 0) + value
        return totals


def process_for_service(service: str, process_count: int) -> int:
    """Return the number of the process that hosts a service."""
    return zlib.crc32(service.encode()) % process_count


def main() -> None:
    """Run commands until standard input ends."""
    inventory_path, rules_path, back_end, process_number, process_count = sys.argv[1:6]
    paths = (Path(inventory_path), Path(rules_path))
    host = BackEndHost(*paths, back_end, int(process_number), int(process_count))
    for line in sys.stdin:
        reply = host.run_command(msgspec.json.decode(line))
        sys.stdout.write(msgspec.json.encode(reply).decode() + '\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
