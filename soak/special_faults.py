"""Faults of cold replicas, home regions, evacuations and bursts; they are drawn only if named."""

import asyncio
import random
import time

from .callers import Caller
from .rules import Burst, ColdSpan

SPECIAL = ('cold_replica', 'cold_restart', 'moved_homes', 'burst')
EVACUATIONS = ('evacuated_zone',)
"""Kinds that need a product that evacuates data centres."""

HOMES = ('brum', 'notts')
HELD_S = 8.0
"""Time for which homes and evacuations stay: they have 5 s to be in force."""

LONG_COLD_S = 60.0
"""Time for which a replica says that it stays cold until it knows how long that is."""

BURST_FACTOR = (1.5, 2.5)
REGISTER_LIMIT_PER_S = 15.0
"""Limit that each replica of a service names during a burst, so that there is too little."""


class SpecialFaults:
    """Further kinds of fault of `faults.Faults`."""

    async def cold_replica(self, duration_s: float) -> None:
        """Make a replica cold for a while: it says so and is slower."""
        replica = self.rng.choice(self.soak.replicas)
        if replica.cold_until_s or replica.notice:
            return
        since_s = time.monotonic()
        cold_s = 2.0 + 2.0 * duration_s
        replica.cold_until_s = since_s + cold_s
        replica.slowdown = 3.0
        await asyncio.sleep(cold_s)
        replica.slowdown = 1.0
        self.record_cold(replica, since_s, replica.cold_until_s)
        replica.cold_until_s = 0.0

    async def cold_restart(self, duration_s: float) -> None:
        """End a replica; it starts again under its ID, cold by its entry and its replies."""
        replica = self.rng.choice(self.soak.replicas)
        if replica.cold_until_s or replica.notice:
            return
        cold_s = 2.0 + 2.0 * duration_s
        replica.entry = {**replica.entry, 'coldLeftMs': round(1000.0 * cold_s)}
        replica.cold_until_s = time.monotonic() + LONG_COLD_S
        replica.end()
        while replica.server is None and replica in self.soak.replicas:
            await asyncio.sleep(0.05)
        since_s = time.monotonic()
        replica.cold_until_s = since_s + cold_s
        await asyncio.sleep(cold_s)
        self.record_cold(replica, since_s, replica.cold_until_s)
        replica.cold_until_s = 0.0
        replica.entry = {**replica.entry, 'coldLeftMs': 0}

    def record_cold(self, replica, since_s: float, until_s: float) -> None:
        """Record that a replica was cold."""
        span = ColdSpan(replica.replica_id, self.soak.cold_rate_per_s, since_s, until_s)
        self.soak.ledger.rules.cold_spans.append(span)

    async def moved_homes(self, duration_s: float) -> None:
        """Publish a table that restricts a route to one region, and later to another one."""
        route = self.rng.choice(('gather', 'lookup', 'filing'))
        if route in self.soak.homes:
            return
        for region in self.rng.sample(HOMES, len(HOMES)):
            self.soak.set_homes(route, [region])
            await asyncio.sleep(HELD_S + duration_s)
        self.soak.set_homes(route, [])

    async def evacuated_zone(self, duration_s: float) -> None:
        """Evacuate a data centre for a while."""
        zone = self.rng.choice(('brum-a', 'notts-a'))
        if f'op/evacuate/{zone}' in self.soak.store.items:
            return
        self.soak.start_evacuation(zone)
        await asyncio.sleep(HELD_S + duration_s)
        self.soak.end_evacuation(zone)

    async def burst(self, duration_s: float) -> None:
        """Send more requests of one kind than the replicas of its service take."""
        kind = self.rng.choice(('lookup', 'filing'))
        register = [one for one in self.soak.replicas if one.service == 'register']
        if any(one.notice for one in register):
            return
        for replica in register:
            replica.notice = {'Server-Limit': str(REGISTER_LIMIT_PER_S)}
        since_s = time.monotonic()
        callers = []
        for number in range(round(self.rng.uniform(*BURST_FACTOR) * len(self.soak.callers))):
            rng = random.Random(self.rng.getrandbits(64))
            ident = 100_000 * len(self.applied) + number
            callers.append(Caller(ident, self.soak.vms, self.soak.ledger, rng, (kind,)))
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(2.0 + duration_s)
        for caller in callers:
            caller.is_stopped = True
        await asyncio.gather(*tasks)
        for replica in register:
            replica.notice = {}
        burst = Burst(('gather', 'lookup', 'filing'), since_s, time.monotonic())
        self.soak.ledger.rules.bursts.append(burst)
