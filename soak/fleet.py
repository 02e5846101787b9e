"""The real programs as processes; they are started, signalled and killed by process id only."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
GRACE_S = 6.0
PORTS = {'front': 18104, 'ready': 18108, 'control': 18106, 'directory': 18100}
PEER_PORT = 18180
MEMORY_MB = 200
"""Memory that the settings grant a VM; exceeding it would end its process on the platform."""


SETTINGS = """
nodeName = "{name}"
role = "gateway"
ip = "{host}"
zone = "{zone}"
region = "{region}"
peerPortRange = [{peer_port}, {peer_port}]
seeds = [{seeds}]
[zones]
brum-a = "brum"
notts-a = "notts"
wolves-a = "wolves"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[limits]
memoryMb = {memory_mb}
[bounds]
graceS = {grace}
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
coldExcess = 1.5
coldSlack = 5
stableMs = 6000
[platform]
addr = "{store}"
"""
ZONES = ('brum-a', 'notts-a', 'wolves-a')


BOOT_S = 0.3
"""Time after which a process has run its own first lines, unless the machine is busy."""


class AddressInUseError(Exception):
    """An address of a VM is in use."""


def check_addresses(hosts: list[str]) -> None:
    """
    Check that nothing else listens on the VMs' addresses: its fleet would mix with this one.

    :raises AddressInUseError: if an address is in use
    """
    for host in hosts:
        for port in PORTS.values():
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((host, port))
                except OSError as error:
                    raise AddressInUseError(
                        f'cannot listen on {host}:{port} ({error.strerror}): '
                        'wait for the other run of the soak to end'
                    ) from error


class Vm:
    """A process of the fleet with its own loopback address."""

    def __init__(self, number: int, hosts: list[str], store: str, folder: Path):
        self.name = f'vm-{number}'
        self.host = hosts[number]
        self.zone = ZONES[number % len(ZONES)]
        self.log_path = folder / f'{self.name}.log'
        self.settings_path = folder / f'{self.name}.toml'
        self.process: subprocess.Popen | None = None
        self.is_stopping = False
        self.started_s = 0.0
        seeds = ', '.join(f'"{host}:{PORTS["control"]}"' for host in hosts[:3])
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            region=self.zone.partition('-')[0],
            peer_port=PEER_PORT,
            seeds=seeds,
            grace=int(GRACE_S),
            memory_mb=MEMORY_MB,
            store=store,
            **PORTS,
        )
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        environ = {**os.environ, 'BEECHBRIDGE_SETTINGS': str(self.settings_path)}
        log = self.log_path.open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'beechbridge.platform'],
            cwd=ROOT,
            env=environ,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_s = time.monotonic()
        self.is_stopping = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_booting(self, include_timing: bool) -> bool:
        """
        Return whether a reload would end the process since its interpreter still starts.

        :param include_timing: whether the process must be ready for a reload by `BOOT_S`
        """
        if self.process is None or self.process.poll() is not None:
            return False
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        handled = [int(mask, 16) for mask in re.findall(r'Sig(?:Ign|Cgt):\s+(\w+)', status)]
        is_handling = any(mask >> (signal.SIGHUP - 1) & 1 for mask in handled)
        is_due = include_timing and time.monotonic() > self.started_s + BOOT_S
        return not is_handling and not is_due

    async def wait_exited(self, limit_s: float) -> bool:
        """Wait for the process to exit; return whether it did within the limit."""
        limit_s += time.monotonic()
        while time.monotonic() < limit_s:
            if self.process is None or self.process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        # The soak itself may have been late.
        return self.process.poll() is not None

    def peak_memory_bytes(self) -> int:
        """Return the peak memory of the running process, 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        return 1024 * int(re.search(r'VmHWM:\s+(\d+) kB', status)[1])

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        self.process.wait()


def make_folder() -> Path:
    """Create a temporary folder for settings and logs."""
    return Path(tempfile.mkdtemp(prefix='beechbridge-soak-'))
