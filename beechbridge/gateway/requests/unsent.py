"""
Requests that are still waiting for a connection to a replica that they may no longer be sent to.

An evacuation, or a routing table with other home regions, also applies to sub-requests whose
connection is being opened. The driver is asked not to send them, and they are dispatched anew.
"""

from collections.abc import Iterable

from ..actions import WithdrawExchange
from ..events import ExchangeWithdrawn
from ..interface import GatewayInterface
from ..replicas.connections import Exchange
from .candidates import allowed_zones
from .progress import resume_task
from .withdrawal import handle_exchange_withdrawn
from .works import Task


def withdraw_barred(gateway: GatewayInterface) -> None:
    """Withdraw the unsent sub-requests to replicas that they may no longer be sent to."""
    for exchange in gateway.upstreams.exchanges.values():
        if exchange.was_sent or exchange.is_withdrawn or not is_barred(exchange, gateway):
            continue
        exchange.is_withdrawn = True
        gateway.counters.add('withdrawals', 'barred')
        gateway.act(WithdrawExchange(exchange.exchange_id, exchange.connection_id))


def dispatch_anew(services: Iterable[str], gateway: GatewayInterface) -> None:
    """Dispatch the queued sub-requests to services; end those that no replica can serve now."""
    for service in dict.fromkeys(services):
        gateway.dispatch_waiting(service)


def is_barred(exchange: Exchange, gateway: GatewayInterface) -> bool:
    """Return whether a sub-request may no longer be sent to the replica chosen for it."""
    if not isinstance(exchange.owner, Task):
        return False
    state = exchange.replica
    zones = allowed_zones(exchange.owner.work, gateway)
    return state.is_evacuated or (zones is not None and state.entry.zone not in zones)


def resume_withdrawn(event: ExchangeWithdrawn, gateway: GatewayInterface) -> None:
    """End an exchange whose request was not sent, and send it elsewhere if it is still wanted."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    handle_exchange_withdrawn(event, gateway)
    if exchange is None or exchange.is_abandoned or not isinstance(exchange.owner, Task):
        return
    resume_task(exchange.owner, gateway, may_retry=True)
