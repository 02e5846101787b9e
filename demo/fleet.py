"""Example deployment on loopback with the stand-ins and VMs in separate processes."""

import http.client
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from beechbridge.document import Document
from beechbridge.failures import Failure
from beechbridge.inventory import parse_inventory
from beechbridge.models import ShardMap, Vm
from beechbridge.rules import Rules, build_document, parse_rules

from .platform import PlatformServer

HOST = '127.0.0.1'
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0

SETTINGS = """\
[vm]
name = "{name}"
place = "{place}"
host = "{host}"
caller_port = {caller_port}
peer_port = {peer_port}
operations_port = {operations_port}

[platform]
host = "{host}"
port = {platform_port}

[limits]
ticket_keep_ms = {ticket_keep_ms}
"""


class BackEndProcess:
    """Process with stand-in replicas of one back end."""

    __slots__ = ('process',)

    def __init__(
        self, folder: Path, back_end: str, process_number: int = 0, process_count: int = 1
    ):
        paths = [str(folder / 'inventory.csv'), str(folder / 'rules.toml')]
        arguments = [*paths, back_end, str(process_number), str(process_count)]
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'demo.host', *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def send_command(self, command: str, **fields) -> dict:
        """Send a command and return its reply."""
        line = msgspec.json.encode({'command': command, **fields})
        self.process.stdin.write(line + b'\n')
        self.process.stdin.flush()
        return msgspec.json.decode(self.process.stdout.readline())

    def close(self) -> None:
        """Close standard input and wait until the process exits."""
        self.process.stdin.close()
        self.process.wait(STOP_TIMEOUT_S)


class VmProcess:
    """Process that runs the daemon of one VM."""

    __slots__ = ('log', 'process', 'vm')

    def __init__(self, vm: Vm, settings_path: Path, log_path: Path, policy: str):
        self.vm = vm
        self.log = log_path.open('wb')
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'beechbridge.daemon',
                f'--settings={settings_path}',
                f'--policy={policy}',
            ],
            stderr=self.log,
        )

    def stop(self) -> int:
        """Stop gracefully; return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the process to exit; return the exit status."""
        status = self.process.wait(STOP_TIMEOUT_S)
        self.log.close()
        return status


class Fleet:
    """A running deployment."""

    def __init__(
        self,
        folder: Path,
        vm_count: int,
        ticket_keep_ms: int = 3000,
        policy: str = 'current',
        split_back_ends: tuple[str, ...] = (),
        rules: Rules | None = None,
    ):
        self.folder = folder
        self.scratch = Path(tempfile.mkdtemp(prefix='beechbridge-'))
        self.ticket_keep_ms = ticket_keep_ms
        self.policy = policy
        self.rows = parse_or_exit(parse_inventory, folder / 'inventory.csv')
        self.rules = rules or parse_or_exit(parse_rules, folder / 'rules.toml')
        fleet_rules = msgspec.structs.replace(self.rules.fleet, entry_keep_ms=2000)
        self.rules = msgspec.structs.replace(self.rules, fleet=fleet_rules)
        self.platform = PlatformServer()
        self.platform.start()
        self.hosts: dict[str, list[BackEndProcess]] = {}
        for name in sorted({row.back_end for row in self.rows}):
            process_count = 2 if name in split_back_ends else 1
            self.hosts[name] = [
                BackEndProcess(folder, name, process_number, process_count)
                for process_number in range(process_count)
            ]
        ports = {}
        for host in self.all_hosts():
            ports.update(host.send_command('ports'))
        self.rows = [
            msgspec.structs.replace(row, host=HOST, port=ports[row.replica]) for row in self.rows
        ]
        self.generation = 0
        self.shard_maps: dict[str, dict] = {}
        self.publish_next()
        self.vms: list[VmProcess] = []
        places = sorted(self.rules.places)
        for number in range(vm_count):
            self.start_vm(f'vm-{number + 1}', places[number % len(places)])

    def all_hosts(self) -> list[BackEndProcess]:
        """Return the processes of all back ends."""
        return [host for hosts in self.hosts.values() for host in hosts]

    def command_back_end(self, back_end: str, command: str, **fields) -> list[dict]:
        """Send a command to each process of a back end."""
        return [host.send_command(command, **fields) for host in self.hosts[back_end]]

    def build(self, generation: int) -> Document:
        """Return the document of a generation."""
        document = build_document(self.rows, self.rules, generation)
        if isinstance(document, Failure):
            raise SystemExit(document.detail)
        return Document(generation, document.entries | self.shard_maps)

    def add_map(self, back_end: str, first_snapshot: int, shard_map: ShardMap) -> None:
        """Add a shard map to the documents published from now on."""
        entry = msgspec.json.decode(msgspec.json.encode(shard_map))
        self.shard_maps[f'map/{back_end}/{first_snapshot}'] = entry

    def publish_next(self) -> None:
        """Publish the next generation."""
        self.generation += 1
        self.platform.publish(self.build(self.generation))

    def start_vm(self, name: str, place: str) -> VmProcess:
        """Add a VM to the platform's list and start its daemon."""
        vm = Vm(name, place, HOST, *free_ports(3))
        published_vm = msgspec.structs.replace(vm, peer_port=self.published_peer_port(vm))
        settings_path = self.scratch / f'{name}.toml'
        settings_path.write_text(
            SETTINGS.format(
                name=name,
                place=place,
                host=HOST,
                caller_port=vm.caller_port,
                peer_port=vm.peer_port,
                operations_port=vm.operations_port,
                platform_port=self.platform.port,
                ticket_keep_ms=self.ticket_keep_ms,
            )
        )
        self.platform.list_vm(published_vm)
        log_path = self.scratch / f'{name}.log'
        process = VmProcess(vm, settings_path, log_path, self.policy)
        self.vms.append(process)
        return process

    def published_peer_port(self, vm: Vm) -> int:
        """Return the port at which other VMs reach a VM."""
        return vm.peer_port

    def wait_ready(self) -> None:
        """Wait until every VM is ready; raise SystemExit on a timeout."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for process in self.vms:
            while not self.is_ready(process):
                if time.monotonic() > deadline_s:
                    raise SystemExit(f'{process.vm.name} did not become ready')
                time.sleep(0.05)

    def is_ready(self, process: VmProcess) -> bool:
        """Return whether a VM is ready and hears from all other VMs."""
        try:
            status, state = call(process.vm.operations_port, 'GET', '/v1/state')
        except OSError:
            return False
        members = state['membership']['vms'].values()
        return status == 200 and state['ready'] and all(member['answering'] for member in members)

    def stop(self) -> list[int]:
        """Stop all VMs gracefully; return their exit statuses."""
        for process in self.vms:
            self.platform.mark_leaving(process.vm.name)
            process.process.send_signal(signal.SIGTERM)
        return [process.wait() for process in self.vms]

    def close(self) -> None:
        """Kill the remaining VMs and close the stand-ins and the platform."""
        for process in self.vms:
            if process.process.poll() is None:
                process.process.kill()
                process.wait()
        for host in self.all_hosts():
            host.close()
        self.platform.shutdown()


def parse_or_exit(parse, path: Path):
    """Parse a file of the example; raise SystemExit if it is invalid."""
    value = parse(path.read_text(), str(path))
    if isinstance(value, Failure):
        raise SystemExit(value.detail)
    return value


def free_ports(count: int) -> list[int]:
    """Return ports that were free at the time of the call."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def call(port: int, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
    """Send one HTTP request with a JSON body; return status and decoded response."""
    client = http.client.HTTPConnection(HOST, port, timeout=60)
    text = msgspec.json.encode(body) if body is not None else None
    try:
        client.request(method, path, text)
        response = client.getresponse()
        return response.status, msgspec.json.decode(response.read())
    finally:
        client.close()
