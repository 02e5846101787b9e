"""Messages of peers, passed to the controllers that they concern."""

from functools import singledispatch

from ...events import PeerMessageReceived
from ...messages import (
    ConfigurationOffered,
    ConfigurationWanted,
    Gossip,
    RelayedOutcome,
    RelayedRequest,
)
from ...models import Vm, VmIdentity
from ..surface import CoreSurface


def handle_peer_message(event: PeerMessageReceived, core: CoreSurface) -> None:
    """Pass a peer's message to the controller it concerns."""
    sender = core.membership.find_vm(event.sender.name)
    take_message(event.message, event.sender, sender, core)


@singledispatch
def take_message(message: object, identity: VmIdentity, vm: Vm | None, core: CoreSurface) -> None:
    """
    Act on one kind of peer message.

    :param vm: the sender's entry on the list, or None where it is not listed
    """
    raise TypeError(f'no handler for {type(message).__name__}')


@take_message.register
def take_gossip(message: Gossip, identity: VmIdentity, vm: Vm | None, core: CoreSurface) -> None:
    """Take heartbeats, compare configurations, and learn of replicas."""
    core.membership.take_views(identity, message, core)
    core.configuration.compare_gossip(vm, message.generation, message.digest, core)
    for sign in message.signs:
        core.health.take_sign(sign, core)


@take_message.register
def take_wanted(
    message: ConfigurationWanted, identity: VmIdentity, vm: Vm | None, core: CoreSurface
) -> None:
    """Send a peer what it lacks."""
    if vm is not None:
        core.configuration.answer_wanted(vm, message, core)


@take_message.register
def take_offered(
    message: ConfigurationOffered, identity: VmIdentity, vm: Vm | None, core: CoreSurface
) -> None:
    """Take a newer configuration."""
    core.configuration.take_offered(vm, message.content, core)


@take_message.register
def take_relayed(
    message: RelayedRequest, identity: VmIdentity, vm: Vm | None, core: CoreSurface
) -> None:
    """Run a request under a ticket of this process for a peer's caller."""
    if vm is not None:
        core.tickets.handle_relayed_request(message, identity, core)


@take_message.register
def take_outcome(
    message: RelayedOutcome, identity: VmIdentity, vm: Vm | None, core: CoreSurface
) -> None:
    """Pass the outcome of a relayed request to its caller."""
    core.tickets.handle_relayed_outcome(message, identity, core)
