"""What all cases share: their end, and the routes and replicas of a small deployment."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from .clients import HOST
from .deployment import CannotRunError, Deployment
from .record import Record
from .standins import Replica

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
LIMIT_S = 115.0
SETTLE_S = 2.5
"""Time after which the machines have left the caution of their start."""

REGISTER = 'asset-register'
DIGEST = 'ops-digest'
REGISTER_ZONES = ('snow-hill',) * 3 + ('lace-market',) * 3 + ('bilston-rd',) * 2
DIGEST_ZONES = ('snow-hill', 'snow-hill', 'lace-market', 'bilston-rd')
LOOKUP_PATH = '/asset/'
DIGEST_PATH = '/digest/'
TIME_LIMIT_MS = 4000


def has_trouble() -> bool:
    """Return whether the case is to run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def make_route(name: str, prefix: str, service: str, kind: str) -> dict:
    """Return a route to one replica of a service."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'attempts': 2,
        'timeoutMs': TIME_LIMIT_MS,
        'goalMs': 400,
        'priority': 2,
    }


async def start_small(deployment: Deployment, kind: str = 'idempotent') -> None:
    """Start store, replicas of two services and machines, with a route to each service."""
    await deployment.store.start()
    number = 0
    for service, zones in ((REGISTER, REGISTER_ZONES), (DIGEST, DIGEST_ZONES)):
        for zone in zones:
            number += 1
            host = deployment.replica_host(number)
            replica = Replica(host, f'i-{number:04x}', service, zone, deployment.record)
            replica.work_s = 0.09
            await deployment.add_replica(replica)
    routes = [
        make_route('asset-lookup', LOOKUP_PATH, REGISTER, kind),
        make_route('digest-lookup', DIGEST_PATH, DIGEST, kind),
    ]
    deployment.publish(routes, [REGISTER, DIGEST])
    await deployment.start()
    await asyncio.sleep(SETTLE_S)


def run_case(
    folder: Path, case: Callable[[Deployment], Awaitable[list[str]]], **options: int
) -> None:
    """Run a case, print and record what broke the rule, and exit with its verdict."""
    record = Record(folder / 'record.txt')

    async def run() -> list[str]:
        deployment = Deployment(record, **options)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(deployment)
        finally:
            deployment.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f'could not run: {error!r}')
        record.write('could not run', repr(error))
        sys.exit(CANNOT_RUN)
    finally:
        record.close()
    for line in broken[:10]:
        print(line)
    print(f'{len(broken)} times broken' if broken else 'held')
    sys.exit(BROKEN if broken else HELD)
