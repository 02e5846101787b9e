"""
Withdrawal: the driver gives its word that nothing of a request has left, and nothing will.

That a connection is open is heard late, after timers that were due. Before a request is said not
to have run, or is sent elsewhere as such, the driver is therefore asked to send what it has not
sent no more, and to say which that is.
"""

from functools import singledispatch

from ..actions import WithdrawExchange
from ..events import ExchangeWithdrawn
from ..interface import GatewayInterface
from .sending import end_exchange
from .works import Task, Work


def withdraw_unsent(work: Work, gateway: GatewayInterface) -> bool:
    """Withdraw what has not been sent, as far as this VM knows; return whether there is any."""
    unsent = work.unsent_exchanges()
    for exchange in unsent:
        if not exchange.is_withdrawn:
            exchange.is_withdrawn = True
            gateway.counters.add('withdrawals', 'asked')
            gateway.act(WithdrawExchange(exchange.exchange_id, exchange.connection_id))
    return bool(unsent)


def settle_withdrawal(work: Work, gateway: GatewayInterface) -> None:
    """Go on with a request if the driver has said of all its exchanges whether they were sent."""
    go_on = work.when_withdrawn
    if go_on is None or work.is_finished or work.unsent_exchanges():
        return
    work.when_withdrawn = None
    go_on(work, gateway)


def handle_exchange_withdrawn(event: ExchangeWithdrawn, gateway: GatewayInterface) -> None:
    """End an exchange whose request was not sent."""
    exchange = gateway.upstreams.exchanges.get(event.exchange_id)
    if exchange is None:
        return
    gateway.counters.add('withdrawals', 'unsent')
    return_attempt(exchange.owner)
    end_exchange(exchange, gateway, is_reusable=False)
    settle_withdrawal(exchange.owner.work, gateway)


@singledispatch
def return_attempt(owner: object) -> None:
    """Count an exchange as not sent; only tasks count their attempts."""


@return_attempt.register
def return_attempt_of_task(owner: Task) -> None:
    """Count an attempt at a task as not made."""
    owner.run_count -= 1
    owner.delivery_count -= 1
