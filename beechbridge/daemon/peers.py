"""
Messages between VMs: gossip in UDP datagrams, any other message over a new TCP connection.

There are no long-lived connections, which could fail without being noticed.
"""

import socket
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ..actions import SendPeer
from ..events import Event, PeerMessageReceived
from ..failures import Failure
from ..messages import Gossip
from ..models import VmIdentity
from ..wire.codec import MAX_FRAME_BYTES, Envelope, decode_frame, encode_frame

MAX_DATAGRAM_BYTES = 60_000
SOCKET_TIMEOUT_S = 1.0
MAX_SENDS_PER_PEER = 4
"""Maximum number of messages in flight to one VM; more are dropped, as any message may be lost."""

THREAD_COUNT = 16
BACKLOG = 64


class PeerLink:
    """
    Sends messages to other VMs and receives theirs.

    :param port: port for UDP and TCP; 0 lets the system choose one that is free for both
    :param post: passes an event to the core
    """

    __slots__ = (
        'counts',
        'identity',
        'in_flight',
        'is_closed',
        'listener',
        'lock',
        'port',
        'post',
        'receivers',
        'senders',
        'udp_socket',
    )

    def __init__(self, identity: VmIdentity, host: str, port: int, post: Callable[[Event], None]):
        self.identity = identity
        self.post = post
        self.listener, self.udp_socket = bind_tcp_and_udp(host, port)
        self.port = self.listener.getsockname()[1]
        self.senders = ThreadPoolExecutor(THREAD_COUNT, thread_name_prefix='peer-send')
        self.receivers = ThreadPoolExecutor(THREAD_COUNT, thread_name_prefix='peer-receive')
        self.in_flight: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.is_closed = False
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Start the receiving threads."""
        for target in (self.receive_datagrams, self.accept_connections):
            threading.Thread(target=target, name=target.__name__, daemon=True).start()

    def send(self, action: SendPeer) -> None:
        """Send a message; it is lost if the peer does not receive it before the timeout."""
        frame = encode_frame(Envelope(self.identity, action.message))
        self.counts['bytes_sent'] += len(frame)
        if isinstance(action.message, Gossip) and len(frame) <= MAX_DATAGRAM_BYTES:
            self.send_datagram(frame, action.vm.host, action.vm.peer_port)
            return
        with self.lock:
            if self.in_flight[action.vm.name] >= MAX_SENDS_PER_PEER:
                self.counts['dropped'] += 1
                return
            self.in_flight[action.vm.name] += 1
        self.senders.submit(self.send_frame, frame, action)

    def send_datagram(self, frame: bytes, host: str, port: int) -> None:
        """Send one datagram; only count an error, as it may be that of an earlier datagram."""
        try:
            self.udp_socket.sendto(frame, (host, port))
        except OSError:
            self.counts['datagrams_failed'] += 1

    def send_frame(self, frame: bytes, action: SendPeer) -> None:
        """Send one frame over a new connection."""
        address = (action.vm.host, action.vm.peer_port)
        try:
            with socket.create_connection(address, timeout=SOCKET_TIMEOUT_S) as sock:
                sock.sendall(frame)
        except OSError:
            self.counts['frames_failed'] += 1
        finally:
            with self.lock:
                self.in_flight[action.vm.name] -= 1

    def receive_datagrams(self) -> None:
        """Receive datagrams until the link is closed."""
        while not self.is_closed:
            try:
                data = self.udp_socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            self.handle_frame(data)

    def accept_connections(self) -> None:
        """Accept connections until the link is closed."""
        while not self.is_closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                continue
            self.receivers.submit(self.receive_frame, sock)

    def receive_frame(self, sock: socket.socket) -> None:
        """Read one frame, which ends where its connection ends."""
        data = bytearray()
        with sock:
            sock.settimeout(SOCKET_TIMEOUT_S)
            try:
                while chunk := sock.recv(65536):
                    data += chunk
                    if len(data) > MAX_FRAME_BYTES:
                        break
            except OSError:
                self.counts['frames_failed'] += 1
                return
        self.handle_frame(bytes(data))

    def handle_frame(self, data: bytes) -> None:
        """Post the message of a frame; count a frame that is malformed."""
        self.counts['bytes_received'] += len(data)
        envelope = decode_frame(data)
        if isinstance(envelope, Failure):
            self.counts['frames_malformed'] += 1
            return
        self.post(PeerMessageReceived(envelope.sender, envelope.message))

    def close(self) -> None:
        """Stop receiving, finish sending the messages in flight and close the sockets."""
        self.is_closed = True
        self.senders.shutdown(wait=True)
        for sock in (self.udp_socket, self.listener):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        self.receivers.shutdown(wait=False, cancel_futures=True)


def bind_tcp_and_udp(
    host: str, port: int, attempts: int = 50
) -> tuple[socket.socket, socket.socket]:
    """Bind a TCP and a UDP socket to the same port."""
    while True:
        listener = socket.create_server((host, port), backlog=BACKLOG)
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp_socket.bind((host, listener.getsockname()[1]))
        except OSError:
            listener.close()
            udp_socket.close()
            attempts -= 1
            if port or not attempts:
                raise
            continue
        return listener, udp_socket
