"""Serves the requests that were held after a start, see `start_queue`."""

from ..interface import GatewayInterface
from .admission import handle_request_received
from .start_queue import StartTimer


def fire_start(timer: StartTimer, gateway: GatewayInterface) -> None:
    """Serve the requests that waited for the routing table, or reject one that waited too long."""
    for event in gateway.start_queue.pop(timer.key):
        handle_request_received(event, gateway)
