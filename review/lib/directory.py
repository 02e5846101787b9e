"""Stand-in for a client that asks the directory where to connect, as the pages describe it."""

import random
import time

from .clients import Answer, Client
from .deployment import Deployment, Machine

MAX_DIRECTORY_NODES = 3


class DirectoryClient:
    """
    A client at a zone.

    :param keep_factor: 1, or 3 for those that keep a response three times as long
    """

    def __init__(self, deployment: Deployment, home: Machine, keep_factor: int):
        self.deployment = deployment
        self.home = home
        self.keep_factor = keep_factor
        self.client = Client(deployment.record)
        self.hosts: list[str] = []
        self.failed: set[str] = set()
        self.keep_until_s = 0.0

    async def refresh(self) -> None:
        """Ask up to three nodes, the nearest first, once the kept response is too old."""
        if time.monotonic() < self.keep_until_s:
            return
        others = [machine for machine in self.deployment.machines if machine is not self.home]
        random.shuffle(others)
        for machine in (self.home, *others)[:MAX_DIRECTORY_NODES]:
            found = await self.deployment.lookup(machine)
            if found is None:
                continue
            self.hosts = [address.rpartition(':')[0] for address in found['addrs']]
            self.failed.clear()
            self.keep_until_s = time.monotonic() + self.keep_factor * found['ttl_s']
            return
        # It cannot obtain a new response, and keeps the old one.

    async def send(self, path: str, timeout_ms: int) -> tuple[Answer, str, float, float]:
        """Send a request; return the answer, the machine's host, and when it began and ended."""
        await self.refresh()
        hosts = [host for host in self.hosts if host not in self.failed] or self.hosts
        host = random.choice(hosts)
        sent_s = time.monotonic()
        answer = await self.client.send((host, self.deployment.ports['front']), path, timeout_ms)
        if not answer.status:
            self.failed.add(host)
        return answer, host, sent_s, time.monotonic()
