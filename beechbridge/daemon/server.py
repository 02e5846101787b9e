"""The daemon: the core, its driver and the network adapters."""

import random
import secrets
import threading
import time
from functools import singledispatch

import logbook
import waitress
from waitress.server import BaseWSGIServer

from ..actions import (
    AnswerCaller,
    CloseConnection,
    Exit,
    LogChange,
    ReadConfiguration,
    ReadVmList,
    Send,
    SendPeer,
)
from ..core.node import Core
from ..core.policy import CURRENT, Policy
from ..events import StopRequested
from ..models import VmIdentity
from .callers import CallerChannel, CallersApp
from .driver import Driver
from .operations import OperationsApp
from .peers import PeerLink
from .platform import (
    ConfigurationService,
    HttpConfigurationService,
    HttpVmListService,
    PlatformClient,
    VmListService,
)
from .settings import Settings
from .upstream_client import UpstreamClient

OPERATIONS_THREADS = 2
IDLE_S = 0.3
"""Time without a request after which no accepted request can still be in transit."""

FINISH_TIMEOUT_S = 3.0
CALLER_IDLE_TIMEOUT_S = 30
MAX_CALLER_CONNECTIONS = 512
BODY_READ_FACTOR = 2
"""Bodies up to this multiple of the limit are read, so that the rejection can state the reason."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Answers up to this size are buffered in memory, because the VMs have no disks."""

TASK_SHUTDOWN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
"""Time after which the thread of a server is taken not to run."""

RANDOM_INCARNATION_BITS = 20

logger = logbook.Logger('beechbridged')


def generate_incarnation() -> int:
    """Return an incarnation that is higher than those of the daemon's earlier starts."""
    return (int(time.time() * 1000) << RANDOM_INCARNATION_BITS) | secrets.randbits(
        RANDOM_INCARNATION_BITS
    )


class Daemon:
    """Daemon of one VM."""

    def __init__(
        self,
        settings: Settings,
        configuration_service: ConfigurationService | None = None,
        vm_list_service: VmListService | None = None,
        policy: Policy = CURRENT,
    ):
        vm = settings.vm
        limits = settings.limits
        platform = settings.platform
        self.settings = settings
        self.identity = VmIdentity(vm.name, generate_incarnation())
        rng = random.Random(secrets.randbits(64))
        self.core = Core(self.identity, vm.place, settings.core_limits(), rng, policy)
        self.driver = Driver(self.core, self.perform)
        post = self.driver.post
        self.upstreams = UpstreamClient(post, limits.upstream_threads)
        self.platform = PlatformClient(
            post,
            configuration_service or HttpConfigurationService(platform.host, platform.port),
            vm_list_service or HttpVmListService(platform.host, platform.port),
        )
        self.peers = PeerLink(self.identity, vm.host, vm.peer_port, self.driver.post_and_go_on)
        self.callers = CallersApp(
            self.identity,
            post,
            lambda: self.core.stopping.is_leaving,
            limits.caller_threads,
            limits.batch_queries,
            limits.body_bytes,
        )
        self.caller_server = waitress.create_server(
            self.callers,
            host=vm.host,
            port=vm.caller_port,
            threads=limits.caller_threads,
            max_request_body_size=BODY_READ_FACTOR * limits.body_bytes,
            inbuf_overflow=BODY_READ_FACTOR * limits.body_bytes + 1,
            outbuf_overflow=MAX_ANSWER_BYTES,
            channel_timeout=CALLER_IDLE_TIMEOUT_S,
            connection_limit=MAX_CALLER_CONNECTIONS,
            ident=None,
        )
        self.caller_server.channel_class = CallerChannel
        self.operations_server = waitress.create_server(
            OperationsApp(self.driver, self.peers.counts),
            host=vm.host,
            port=vm.operations_port,
            threads=OPERATIONS_THREADS,
            ident=None,
        )
        self.exit_requested = threading.Event()

    @property
    def caller_port(self) -> int:
        """Return the port of the caller API."""
        return int(self.caller_server.effective_port)

    @property
    def operations_port(self) -> int:
        """Return the port of the operator API."""
        return int(self.operations_server.effective_port)

    def start(self) -> None:
        """Start the servers and the core."""
        self.peers.start()
        for server in (self.caller_server, self.operations_server):
            threading.Thread(target=server.run, daemon=True).start()
        self.driver.start()
        logger.info(
            '{} is serving: callers on port {}, peers on port {}, operators on port {}',
            self.identity.name,
            self.caller_port,
            self.peers.port,
            self.operations_port,
        )

    def perform(self, action) -> None:
        """Perform an action of the core."""
        perform_action(action, self)

    def request_stop(self) -> None:
        """Start a graceful stop."""
        self.driver.post(StopRequested())

    def finish(self) -> None:
        """Wait up to `FINISH_TIMEOUT_S` for the last answers to be sent, then close everything."""
        deadline_s = time.monotonic() + FINISH_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.callers.is_idle(IDLE_S) and not has_pending_answers(self.caller_server):
                break
            time.sleep(IDLE_S / 10)
        self.close()
        logger.info('{} stopped', self.identity.name)

    def close(self) -> None:
        """Close everything immediately."""
        for server in (self.caller_server, self.operations_server):
            server.task_dispatcher.shutdown(timeout=TASK_SHUTDOWN_TIMEOUT_S)
            close_server(server)
        self.driver.close()
        self.peers.close()
        self.upstreams.close()
        self.platform.close()


def close_server(server: BaseWSGIServer) -> None:
    """
    Close a server in its own thread, if that runs.

    A socket that another thread closes while it is waited for ends the server's thread with an
    error, and with it the connections that are still open.
    """
    if server.socket is None:
        return
    closed = threading.Event()

    def close() -> None:
        server.close()
        closed.set()

    server.trigger.pull_trigger(close)
    if not closed.wait(CLOSE_TIMEOUT_S):
        server.close()


def has_pending_answers(server: BaseWSGIServer) -> bool:
    """Return whether a server has answers to send or requests to handle."""
    for channel in list(server.active_channels.values()):
        if channel.total_outbufs_len or channel.requests:
            return True
    return False


@singledispatch
def perform_action(action: object, daemon: Daemon) -> None:
    """Perform one type of action."""
    raise TypeError(f'no adapter for {type(action).__name__}')


@perform_action.register
def perform_send(action: Send, daemon: Daemon) -> None:
    """Send a message to an upstream."""
    daemon.upstreams.send(action)


@perform_action.register
def perform_close(action: CloseConnection, daemon: Daemon) -> None:
    """Close a connection to an upstream."""
    daemon.upstreams.close_connection(action)


@perform_action.register
def perform_answer(action: AnswerCaller, daemon: Daemon) -> None:
    """Deliver an answer to its caller."""
    daemon.callers.deliver(action.request_id, action.answer)


@perform_action.register
def perform_send_peer(action: SendPeer, daemon: Daemon) -> None:
    """Send a message to another VM."""
    daemon.peers.send(action)


@perform_action.register
def perform_read_configuration(action: ReadConfiguration, daemon: Daemon) -> None:
    """Read the configuration service."""
    daemon.platform.read_configuration(action)


@perform_action.register
def perform_read_vm_list(action: ReadVmList, daemon: Daemon) -> None:
    """Read the VM list."""
    daemon.platform.read_vm_list()


@perform_action.register
def perform_log(action: LogChange, daemon: Daemon) -> None:
    """Log a change of state."""
    logger.info('{}: {} -> {}', action.subject, action.before, action.after)


@perform_action.register
def perform_exit(action: Exit, daemon: Daemon) -> None:
    """Signal the main thread to end the process."""
    daemon.exit_requested.set()
