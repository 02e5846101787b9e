"""Dispatches messages from peers to the controllers that handle them."""

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
from ..interface import CoreInterface


def handle_peer_message_received(event: PeerMessageReceived, core: CoreInterface) -> None:
    """Dispatch a message from a peer."""
    sender = core.membership.find_vm(event.sender.name)
    dispatch_message(event.message, event.sender, sender, core)


@singledispatch
def dispatch_message(
    message: object, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """
    Handle one type of peer message.

    :param vm: the sender's entry in the VM list, or None if it is not listed
    """
    raise TypeError(f'no handler for {type(message).__name__}')


@dispatch_message.register
def handle_gossip(
    message: Gossip, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """Apply heartbeats, compare configuration generations, and update replica states."""
    core.membership.apply_views(identity, message, core)
    core.configuration.compare_gossip(vm, message.generation, message.digest, core)
    for sign in message.signs:
        core.health.handle_sign(sign, core)


@dispatch_message.register
def handle_configuration_wanted(
    message: ConfigurationWanted, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """Send a peer the newer configuration that it asked for."""
    if vm is not None:
        core.configuration.handle_configuration_wanted(vm, message, core)


@dispatch_message.register
def handle_configuration_offered(
    message: ConfigurationOffered, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """Handle a configuration offered by a peer."""
    core.configuration.handle_configuration_offered(vm, message.content, core)


@dispatch_message.register
def handle_relayed_request(
    message: RelayedRequest, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """Run a request relayed by a peer, under a ticket issued by this process."""
    if vm is not None:
        core.tickets.handle_relayed_request(message, identity, core)


@dispatch_message.register
def handle_relayed_outcome(
    message: RelayedOutcome, identity: VmIdentity, vm: Vm | None, core: CoreInterface
) -> None:
    """Return the outcome of a relayed request to its caller."""
    core.tickets.handle_relayed_outcome(message, identity, core)
