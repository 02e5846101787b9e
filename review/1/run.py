"""Requests that must not run twice are answered 503, and have run."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.cases import LOOKUP_PATH, has_trouble, run_case, start_small
from lib.clients import Answer, Client
from lib.deployment import Deployment

CLIENTS = 26
"""Clients of the zone `lace-market` in the site file."""

ROUNDS = 50
ROUND_S = 1.7
"""Time between the rounds; 15 requests a second on average."""

LEFT_MS = (18, 34)
"""What is left of the clients' time limit."""

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


async def send_round(deployment: Deployment, client: Client) -> list[Answer]:
    """Let each client send one request: all at the same moment, or one after the other."""
    directory = await deployment.lookup(deployment.machines[1])
    addresses = [address.rpartition(':') for address in directory['addrs']]
    gap_s = 0.0 if has_trouble() else ROUND_S / (CLIENTS + 1)
    tasks = []
    for number in range(CLIENTS):
        host, _, port = random.choice(addresses)
        sending = client.send(
            (host, int(port)),
            f'{LOOKUP_PATH}{number}',
            random.randint(*LEFT_MS),
            method='POST',
            body=b'x' * 300,
        )
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


async def case(deployment: Deployment) -> list[str]:
    """Return the requests that were answered as not run, and ran."""
    await start_small(deployment, 'non_idempotent')
    client = Client(deployment.record)
    answers = []
    loop = asyncio.get_running_loop()
    for _ in range(ROUNDS):
        begun_s = loop.time()
        answers.extend(await send_round(deployment, client))
        await asyncio.sleep(max(0.0, begun_s + ROUND_S - loop.time()))
    runs = deployment.record.runs
    print(f'{len(answers)} requests, {sum(answer.request_id in runs for answer in answers)} ran')
    broken = []
    for answer in answers:
        if answer.status in PROMISES and answer.request_id in runs:
            replica_id, _, at_s = runs[answer.request_id][0]
            broken.append(
                f'{answer.request_id}: answered {answer.status}, ran at {replica_id} ({at_s:.4f})'
            )
    return broken


run_case(Path(__file__).resolve().parent, case)
