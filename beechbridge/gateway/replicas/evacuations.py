"""
Evacuations: data centres whose replicas are sent no requests while an item of the store exists.

An evacuation takes effect in the event that brings its item, from the store or from another VM,
and ends in the event that brings the item's deletion. What is in flight ends normally.
"""

from collections.abc import Iterable

from ...record import Record
from ..actions import WriteLine
from ..interface import GatewayInterface
from .connections import Exchange
from .upstreams import AGGREGATOR_DISTANCE, ReplicaState


class Evacuation(Record):
    """
    An item of the store that evacuates a data centre.

    :param zone: name of the data centre
    """

    __slots__ = ('zone',)

    def __init__(self, zone: str):
        self.zone = zone


class Evacuations:
    """
    The data centres that are evacuated, as far as this VM knows.

    :param since_ms: time in milliseconds when this VM learned of the evacuation, by data centre
    :param zone_by_key: data centre by the key of its item
    """

    __slots__ = ('since_ms', 'zone_by_key')

    def __init__(self):
        self.since_ms: dict[str, float] = {}
        self.zone_by_key: dict[str, str] = {}

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the replicas of a data centre are sent no requests."""
        return zone in self.since_ms

    def add(self, key: str, zone: str, now_ms: float) -> bool:
        """Record an evacuation; return whether it is new."""
        if key in self.zone_by_key:
            return False
        self.zone_by_key[key] = zone
        self.since_ms[zone] = now_ms
        return True

    def remove(self, key: str) -> str | None:
        """Record the end of an evacuation; return its data centre, None if there was none."""
        zone = self.zone_by_key.pop(key, None)
        if zone is not None:
            del self.since_ms[zone]
        return zone


def start_evacuation(key: str, evacuation: Evacuation, gateway: GatewayInterface) -> list[str]:
    """
    Stop sending requests to the replicas of a data centre, and close their idle connections.

    :return: services whose queued requests have to be looked at again
    """
    zone = evacuation.zone
    if not gateway.evacuations.add(key, zone, gateway.now_ms):
        return []
    states = list_replicas(zone, gateway)
    for state in states:
        mark_evacuated(state, gateway)
    log_evacuation('evacuation_started', zone, states, {}, gateway)
    return list_services(states)


def end_evacuation(key: str, gateway: GatewayInterface) -> list[str]:
    """
    Send requests to the replicas of a data centre again, if the key is that of its evacuation.

    :return: services whose queued requests may be sent now
    """
    since_ms = dict(gateway.evacuations.since_ms)
    zone = gateway.evacuations.remove(key)
    if zone is None:
        return []
    states = list_replicas(zone, gateway)
    for state in states:
        mark_evacuated(state, gateway)
    fields = {'for_ms': round(gateway.now_ms - since_ms[zone])}
    log_evacuation('evacuation_ended', zone, states, fields, gateway)
    return list_services(states)


def mark_evacuated(state: ReplicaState, gateway: GatewayInterface) -> None:
    """Note whether a replica's data centre is evacuated; if so, close its idle connections."""
    state.is_evacuated = gateway.evacuations.is_evacuated(state.entry.zone)
    if not state.is_evacuated:
        return
    for connection_id in state.remove_all_idle():
        gateway.drop_connection(connection_id)


def list_replicas(zone: str, gateway: GatewayInterface) -> list[ReplicaState]:
    """Return the registered replicas of a data centre."""
    return [state for state in gateway.upstreams.by_id.values() if state.entry.zone == zone]


def list_services(states: Iterable[ReplicaState]) -> list[str]:
    """Return the services of replicas, each once."""
    return list(dict.fromkeys(state.entry.service for state in states))


def list_exchanges(zone: str, gateway: GatewayInterface) -> list[Exchange]:
    """Return the exchanges in flight with replicas of a data centre, also of removed ones."""
    found = []
    # A copy: the metrics are rendered in another thread.
    for exchange in list(gateway.upstreams.exchanges.values()):
        state = exchange.replica
        if state.distance != AGGREGATOR_DISTANCE and state.entry.zone == zone:
            found.append(exchange)
    return found


def count_exchanges(gateway: GatewayInterface) -> int:
    """Return the number of exchanges in flight with replicas of evacuated data centres."""
    zones = list(gateway.evacuations.since_ms)
    return sum(len(list_exchanges(zone, gateway)) for zone in zones)


def log_evacuation(
    subject: str, zone: str, states: list[ReplicaState], fields: dict, gateway: GatewayInterface
) -> None:
    """Count and log the start or the end of an evacuation."""
    gateway.counters.add(subject)
    figures = {'replicas': len(states), 'exchanges': len(list_exchanges(zone, gateway))}
    revision = {'revision': gateway.view.revision}
    gateway.act(WriteLine(subject, {'zone': zone, **revision, **figures, **fields}))


def describe_evacuations(gateway: GatewayInterface) -> dict:
    """Return the evacuated data centres for a state dump."""
    described = {}
    for zone, since_ms in sorted(gateway.evacuations.since_ms.items()):
        described[zone] = {
            'for_ms': round(gateway.now_ms - since_ms),
            'replicas': len(list_replicas(zone, gateway)),
            'exchanges': len(list_exchanges(zone, gateway)),
        }
    return described
