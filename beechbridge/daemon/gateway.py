"""The gateway process: runs the core in an event loop and connects it to its adapters."""

import asyncio
import random
import secrets
import signal
import threading
import time
from collections.abc import Callable
from functools import singledispatch

from waitress.server import MultiSocketServer

from ..defects import describe_defect
from ..failures import Failure, Reason
from ..gateway.actions import (
    AbandonExchange,
    AnswerRequest,
    CloseIdleCallers,
    DropConnection,
    ExitProcess,
    FollowStore,
    ProbeReplica,
    PullChanges,
    SendColdReplicas,
    SendHeartbeat,
    SendOrder,
    SendPermits,
    SendRelay,
    SendRequest,
    SendSuspects,
    SetCallerLimits,
    WithdrawExchange,
    WriteLine,
)
from ..gateway.events import (
    DatagramUnreadable,
    ExchangeEnded,
    OrderReceived,
    PauseDetected,
    PullEnded,
    RelayReceived,
    RequestReceived,
    SettingsReloaded,
    StopRequested,
    TimerDue,
)
from ..gateway.member import Member
from ..gateway.models import LinkFailure, LinkFault
from ..gateway.node import Gateway
from ..gateway.requests.work_estimates import switch_balancing
from ..gateway.settings import Address, GatewaySettings
from ..platform.callers import read_request, write_answer
from ..platform.items import decode_item
from ..platform.names import EVACUATIONS_PREFIX, REPLICAS_PREFIX, TABLE_KEY
from ..platform.replicas import read_reply, write_request
from ..platform.store import StoreClient
from ..status import ExitStatus
from ..wire.fleet import (
    decode_datagram,
    encode_cold_replicas,
    encode_heartbeat,
    encode_permits,
    encode_suspects,
    read_order,
    read_parts,
    write_order,
    write_parts,
)
from ..wire.relays import read_relay, read_relay_reply, write_relay, write_relay_answer
from .answer_clock import time_answer
from .clock import read_clock_ms
from .closing import call_when_sent, close_idle_channels, describe_unsent, list_listeners
from .early_listener import EarlyListener
from .exchanges import Codec, ExchangeClient
from .front import Endpoint, FrontApp, create_front
from .log_lines import LineHandler, write_line
from .memory_account import LEAST_URGENT, PARTS
from .pages import GatewayPages
from .pulls import pull_changes
from .store_reader import StoreReader

STORE_TIMEOUT_S = 0.8
"""Response timeout of the store, which normally answers within milliseconds."""

LISTED_PREFIXES = (EVACUATIONS_PREFIX, REPLICAS_PREFIX, TABLE_KEY)
METRICS_PORT = 9464
PAUSE_THRESHOLD_MS = 1_000.0
"""Delay of the event loop above which the process is considered to have been paused."""

PAUSE_CHECK_INTERVAL_S = 0.5
SETTINGS_POLL_INTERVAL_S = 5.0
EXIT_DELAY_S = 0.15
RANDOM_INCARNATION_BITS = 20


class GatewayProcess:
    """One VM's gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        load_settings: Callable[[], GatewaySettings | Failure],
        early: EarlyListener | None = None,
    ):
        self.settings = settings
        self.load_settings = load_settings
        self.incarnation = (int(time.time() * 1000) << RANDOM_INCARNATION_BITS) | (
            secrets.randbits(RANDOM_INCARNATION_BITS)
        )
        own_member = Member(
            settings.name,
            settings.host,
            settings.zone,
            self.incarnation,
            capacity_millicores=settings.capacity_millicores,
        )
        self.core = Gateway(
            own_member,
            settings.seeds,
            settings.regions,
            decode_item,
            settings.budget,
            settings.grace_ms,
            random.Random(secrets.randbits(64)),
            settings.max_reply_bytes,
            settings.is_first_start,
            settings.stable_ms,
            settings.cold_rules,
        )
        self.core.answer_time.is_in_force = settings.has_short_goals
        switch_balancing(settings.balances_by_work, self.core)
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(log_loop_error)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_ms = float('inf')
        codecs = {
            SendRequest: Codec(write_request, read_reply),
            SendOrder: Codec(write_order, read_parts),
            SendRelay: Codec(write_relay, read_relay_reply),
        }
        self.exchanges = ExchangeClient(
            self.loop, self.handle, codecs, settings.reply_memory_bytes
        )
        self.front = FrontApp(
            self.post,
            lambda: self.core.stopping.is_leaving,
            held_memory_bytes=settings.held_memory_bytes,
            max_connections=settings.max_connections,
            max_header_fields=settings.max_header_fields,
            max_pipelined=settings.max_pipelined,
        )
        self.front.memory.find_urgency = self.find_urgency
        self.account = self.front.memory.account
        self.exchanges.memory.account = self.account
        self.exchanges.memory.relieve_account = self.front.schedule_relief
        self.pages = GatewayPages(self.core, self.loop, settings, self.front)
        self.server = self.open_server(early)
        self.listeners = list_listeners(self.server)
        self.store_reader = StoreReader(
            StoreClient(settings.store, STORE_TIMEOUT_S),
            LISTED_PREFIXES,
            '',
            self.post,
        )
        self.datagrams: asyncio.DatagramTransport | None = None
        self.last_check_ms = read_clock_ms()

    def open_server(self, early: EarlyListener | None) -> MultiSocketServer:
        """Listen on the configured addresses and on the metrics port."""
        settings = self.settings
        pages = self.pages
        handlers = (
            (settings.callers, pages.serve_unknown),
            (settings.readiness, pages.serve_readiness),
            (settings.directory, pages.serve_directory),
            (settings.peers, pages.serve_peers),
            (Address(settings.host, METRICS_PORT), pages.serve_peers),
        )
        addresses = []
        for address, handler in handlers:
            if address is not None:
                addresses.append(address)
                self.front.handlers[address.port] = handler
        if settings.callers is not None:
            self.front.callers_port = settings.callers.port
            self.front.endpoints[settings.callers.port] = (
                Endpoint(RequestReceived, read_request, write_answer),
            )
        if settings.peers is not None:
            self.front.endpoints[settings.peers.port] = (
                Endpoint(OrderReceived, read_order, write_parts),
                Endpoint(RelayReceived, read_relay, write_relay_answer),
            )
        return create_front(self.front, addresses, early)

    def find_urgency(self, host: str, path: str) -> int:
        """Return the priority of a route; thread-safe, since a table never changes."""
        table = self.core.table
        route = table.find_route(host, path) if table is not None else None
        return LEAST_URGENT if route is None else route.priority

    def run(self) -> ExitStatus:
        """Serve until a stop is requested."""
        settings = self.settings
        write_line('started', {'vm': settings.name, 'incarnation': self.incarnation})
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.handle, StopRequested())
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.loop.run_until_complete(self.open_datagrams())
        threading.Thread(target=self.server.run, name='front', daemon=True).start()
        self.store_reader.start()
        self.perform_all(self.core.start(read_clock_ms()))
        self.loop.call_later(PAUSE_CHECK_INTERVAL_S, self.check_pause)
        self.loop.call_later(SETTINGS_POLL_INTERVAL_S, self.poll_settings)
        self.loop.run_forever()
        return ExitStatus.OK

    async def open_datagrams(self) -> None:
        """Open the UDP socket for heartbeats."""
        address = (self.settings.host, self.settings.peer_port)
        self.datagrams, _ = await self.loop.create_datagram_endpoint(
            lambda: HeartbeatProtocol(self), local_addr=address
        )

    def reload(self) -> None:
        """Reload the settings; keep the current ones if they are invalid."""
        settings = self.load_settings()
        if isinstance(settings, Failure):
            write_line('reload_failed', {'detail': settings.detail})
            return
        if settings == self.settings:
            return
        self.settings = self.pages.settings = settings
        self.handle(SettingsReloaded(settings))

    def poll_settings(self) -> None:
        """Reload the settings periodically, since they may change without a signal."""
        self.loop.call_later(SETTINGS_POLL_INTERVAL_S, self.poll_settings)
        self.reload()

    def post(self, event: object) -> None:
        """Schedule an event for the core; thread-safe."""
        try:
            self.loop.call_soon_threadsafe(self.handle, event)
        except RuntimeError:
            # The loop is already closed because the process is exiting.
            return

    def handle(self, event: object) -> None:
        """
        Pass an event to the core and perform its actions; call in the loop's thread.

        A defect in a handler costs the event, not the process.
        """
        try:
            actions = self.core.handle(event, read_clock_ms())
        except Exception as error:
            actions = self.core.recover(event, describe_defect(error))
        self.perform_all(actions)

    def perform_all(self, actions: list) -> None:
        """Perform actions, then schedule the loop's timer for the earliest due time."""
        for action in actions:
            try:
                perform(action, self)
            except Exception as error:
                fields = {'action': type(action).__name__, **describe_defect(error)}
                write_line('action_failed', fields)
        due_ms = self.core.timers.next_due_ms()
        if due_ms is None or due_ms >= self.timer_due_ms:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due_ms = due_ms
        delay_s = max(0.0, due_ms - read_clock_ms()) / 1000.0
        self.timer = self.loop.call_later(delay_s, self.fire_timers)

    def fire_timers(self) -> None:
        """Fire the timers that are due."""
        self.timer = None
        self.timer_due_ms = float('inf')
        self.handle(TimerDue())

    def check_pause(self) -> None:
        """Detect that the process was paused."""
        now_ms = read_clock_ms()
        late_ms = now_ms - self.last_check_ms - PAUSE_CHECK_INTERVAL_S * 1000.0
        self.last_check_ms = now_ms
        if late_ms > PAUSE_THRESHOLD_MS:
            self.handle(PauseDetected(late_ms))
        self.account.measure(PARTS, measure_parts(self.core))
        self.loop.call_later(PAUSE_CHECK_INTERVAL_S, self.check_pause)

    def send_datagrams(self, data: bytes, hosts: list[str]) -> None:
        """Send a datagram to each of several VMs."""
        for host in hosts:
            self.datagrams.sendto(data, (host, self.settings.peer_port))

    def pull_changes(self, action: PullChanges) -> None:
        """Pull store changes from another VM; blocks, so call it in its own thread."""
        try:
            ended = pull_changes(action, self.settings.peers)
        except Exception as error:
            fields = describe_defect(error)
            write_line('thread_failed', {'thread': 'pull', **fields})
            ended = PullEnded(action, Failure(Reason.INTERNAL, detail=fields['error']))
        self.post(ended)

    def exit_when_sent(self, deadline_ms: float) -> None:
        """Stop the loop once all answers have been sent, at the latest at a deadline."""
        arguments = (self.listeners, self.loop, deadline_ms, self.end_loop)
        # Requests that were just read are still on their way to the core.
        self.loop.call_later(EXIT_DELAY_S, call_when_sent, *arguments)

    def end_loop(self) -> None:
        """Log the answers that are cut off, and stop the loop."""
        write_line('answers_unsent', describe_unsent(self.listeners))
        self.loop.stop()


def measure_parts(core: Gateway) -> int:
    """Return the size of the parts that are kept until the last one of a request arrives."""
    byte_count = 0
    for work in core.works.values():
        for task in work.tasks:
            if task.reply is not None:
                byte_count += len(task.reply.body)
    return byte_count


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Log an exception in a callback of the event loop, which goes on."""
    error = context.get('exception')
    fields = describe_defect(error) if error is not None else {}
    write_line('callback_failed', {'detail': context.get('message', ''), **fields})


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """Receives the datagrams of other VMs."""

    def __init__(self, process: GatewayProcess):
        self.process = process

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Decode a heartbeat or a message about permits and pass it to the core."""
        event = decode_datagram(data)
        if isinstance(event, Failure):
            event = DatagramUnreadable(address[0], event)
        self.process.handle(event)

    def error_received(self, error: OSError) -> None:
        """Ignore an undeliverable datagram: the silence of its VM is detected anyway."""

    def connection_lost(self, error: Exception | None) -> None:
        """Log that a defect has closed the socket: this VM is neither heard nor hears others."""
        if error is not None:
            write_line('datagrams_failed', describe_defect(error))


@singledispatch
def perform(action: object, process: GatewayProcess) -> None:
    """Perform one kind of action."""
    raise TypeError(f'no adapter for {type(action).__name__}')


@perform.register
def perform_send_request(action: SendRequest, process: GatewayProcess) -> None:
    """Send a request to a replica."""
    process.exchanges.send(action, action.port)


@perform.register(SendOrder)
@perform.register(SendRelay)
def perform_send_to_vm(action: SendOrder | SendRelay, process: GatewayProcess) -> None:
    """Send an order or a relay to another VM; fail if no peer address is configured."""
    peers = process.settings.peers
    if peers is None:
        failure = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
        process.post(ExchangeEnded(action.exchange_id, failure))
        return
    process.exchanges.send(action, peers.port)


@perform.register
def perform_drop_connection(action: DropConnection, process: GatewayProcess) -> None:
    """Close a connection to a replica."""
    process.exchanges.drop(action)


@perform.register
def perform_abandon_exchange(action: AbandonExchange, process: GatewayProcess) -> None:
    """Close the connection of an unneeded reply, unless little of it is left."""
    process.exchanges.abandon(action)


@perform.register
def perform_withdraw_exchange(action: WithdrawExchange, process: GatewayProcess) -> None:
    """Never send a request, unless that has begun."""
    process.exchanges.withdraw(action)


@perform.register
def perform_answer_request(action: AnswerRequest, process: GatewayProcess) -> None:
    """Deliver the answer to a caller."""
    time_answer(action, process.front)
    process.front.deliver(action.key, action.answer)


@perform.register
def perform_set_caller_limits(action: SetCallerLimits, process: GatewayProcess) -> None:
    """Apply new limits to callers."""
    process.front.apply_caller_limits(action.limits)


@perform.register
def perform_write_line(action: WriteLine, process: GatewayProcess) -> None:
    """Write a log line."""
    write_line(action.subject, action.fields)


@perform.register
def perform_send_heartbeat(action: SendHeartbeat, process: GatewayProcess) -> None:
    """Send a heartbeat to each of the VMs."""
    process.send_datagrams(encode_heartbeat(action), action.hosts)


@perform.register
def perform_send_permits(action: SendPermits, process: GatewayProcess) -> None:
    """Send a message about permits to another VM."""
    process.send_datagrams(encode_permits(action), [action.host])


@perform.register
def perform_send_suspects(action: SendSuspects, process: GatewayProcess) -> None:
    """Send evidence against requests to each of the VMs."""
    process.send_datagrams(encode_suspects(action), action.hosts)


@perform.register
def perform_send_cold_replicas(action: SendColdReplicas, process: GatewayProcess) -> None:
    """Tell each of the VMs which replicas have turned cold."""
    process.send_datagrams(encode_cold_replicas(action), action.hosts)


@perform.register
def perform_probe_replica(action: ProbeReplica, process: GatewayProcess) -> None:
    """Probe the address of a replica."""
    process.exchanges.probe(action)


@perform.register
def perform_follow_store(action: FollowStore, process: GatewayProcess) -> None:
    """Start or stop following the store."""
    process.store_reader.follow(action.should_follow, action.revision, action.epoch)


@perform.register
def perform_pull_changes(action: PullChanges, process: GatewayProcess) -> None:
    """Pull store changes from another VM."""
    # The threads of a pool would delay the exit of the process.
    threading.Thread(target=process.pull_changes, args=(action,), name='pull', daemon=True).start()


@perform.register
def perform_close_idle_callers(action: CloseIdleCallers, process: GatewayProcess) -> None:
    """Close the listeners and idle connections of callers, in the server's thread."""
    write_line('callers_closed', describe_unsent(process.listeners))
    process.listeners[0].trigger.pull_trigger(lambda: close_idle_channels(process.listeners))


@perform.register
def perform_exit_process(action: ExitProcess, process: GatewayProcess) -> None:
    """Exit the process once the last answers have been sent."""
    process.exit_when_sent(action.deadline_ms)


def run_gateway(
    settings: GatewaySettings,
    load_settings: Callable[[], GatewaySettings | Failure],
    early: EarlyListener | None = None,
) -> ExitStatus:
    """
    Run the process until a stop is requested.

    :param load_settings: reloads the settings
    :param early: listener for clients that is open already
    """
    handler = LineHandler()
    handler.push_application()
    try:
        process = GatewayProcess(settings, load_settings, early)
    except OSError as error:
        write_line('cannot_listen', {'cause': str(error)})
        handler.close()
        return ExitStatus.CANNOT_LISTEN
    status = process.run()
    write_line('ended', {'vm': settings.name})
    handler.close()
    return status
