"""After an entry of another writer no machine that starts gets ready again."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.cases import LOOKUP_PATH, REGISTER, TIME_LIMIT_MS, has_trouble, run_case, start_small
from lib.clients import Answer, Client
from lib.deployment import Deployment

REQUESTS = 100
INTERVAL_S = 0.08
DOWN_S = 1.1
"""As the final fault `kill_all` of the site's days."""

RECOVER_S = 12.0
MIN_SHARE = 0.25
UNREADABLE_PORT = '9' * 5_000


async def send_all(deployment: Deployment) -> list[Answer]:
    """Send requests at regular intervals to the machines."""
    client = Client(deployment.record)
    tasks = []
    for number in range(REQUESTS):
        machine = random.choice(deployment.machines)
        address = (machine.host, deployment.ports['front'])
        path = f'{LOOKUP_PATH}{number}'
        tasks.append(asyncio.create_task(client.send(address, path, TIME_LIMIT_MS)))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


def served_share(answers: list[Answer]) -> float:
    """Return the share of the requests that were served."""
    return sum(answer.status == 200 for answer in answers) / len(answers)


async def case(deployment: Deployment) -> list[str]:
    """Return whether too few requests are served after all processes were killed."""
    await start_small(deployment)
    if has_trouble():
        entry = deployment.replicas[0].entry()
        foreign = {**entry, 'service': REGISTER, 'addr': f'127.0.0.1:{UNREADABLE_PORT}'}
        deployment.record.write('entry', 'i-0000', 'of another writer')
        deployment.store.put('servers/i-0000', foreign)
    await asyncio.sleep(2.0)
    before = served_share(await send_all(deployment))
    for machine in deployment.machines:
        machine.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for machine in deployment.machines:
        machine.start()
    await asyncio.sleep(RECOVER_S)
    after = served_share(await send_all(deployment))
    ready_count = 0
    for machine in deployment.machines:
        ready_count += await deployment.is_ready(machine)
    words = f'served {before:.2f} before and {after:.2f} after, {ready_count} machines ready'
    deployment.record.write('served', words)
    print(words)
    if before >= MIN_SHARE > after:
        return [f'{words}, later than {RECOVER_S:.0f} s after all of them were back']
    return []


run_case(Path(__file__).resolve().parent, case)
