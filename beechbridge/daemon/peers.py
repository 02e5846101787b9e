"""
Messages between VMs: gossip as UDP datagrams, everything else over a TCP connection each.

A connection for each message keeps no state that could go silent.
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
TIMEOUT_S = 1.0
SENDS_PER_PEER = 4
"""Messages under way to one VM at most; more are dropped, since any may be lost."""

THREADS = 16
BACKLOG = 64


class PeerLink:
    """
    Sends and receives the messages of one VM.

    :param port: port for UDP and TCP; 0 lets the system choose one free for both
    """

    __slots__ = (
        'counts',
        'datagrams',
        'identity',
        'is_closed',
        'listener',
        'lock',
        'port',
        'post',
        'receivers',
        'senders',
        'under_way',
    )

    def __init__(self, identity: VmIdentity, host: str, port: int, post: Callable[[Event], None]):
        self.identity = identity
        self.post = post
        self.listener, self.datagrams = bind_both(host, port)
        self.port = self.listener.getsockname()[1]
        self.senders = ThreadPoolExecutor(THREADS, thread_name_prefix='peer-send')
        self.receivers = ThreadPoolExecutor(THREADS, thread_name_prefix='peer-receive')
        self.under_way: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.is_closed = False
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Start receiving."""
        for target in (self.receive_datagrams, self.accept_connections):
            threading.Thread(target=target, name=target.__name__, daemon=True).start()

    def send(self, action: SendPeer) -> None:
        """Send a message; it is lost if the peer does not take it in time."""
        frame = encode_frame(Envelope(self.identity, action.message))
        self.counts['bytes_sent'] += len(frame)
        if isinstance(action.message, Gossip) and len(frame) <= MAX_DATAGRAM_BYTES:
            self.send_datagram(frame, action.vm.host, action.vm.peer_port)
            return
        with self.lock:
            if self.under_way[action.vm.name] >= SENDS_PER_PEER:
                self.counts['dropped'] += 1
                return
            self.under_way[action.vm.name] += 1
        self.senders.submit(self.send_frame, frame, action)

    def send_datagram(self, frame: bytes, host: str, port: int) -> None:
        """Send one datagram; errors of an earlier one are reported here and mean nothing."""
        try:
            self.datagrams.sendto(frame, (host, port))
        except OSError:
            self.counts['datagrams_failed'] += 1

    def send_frame(self, frame: bytes, action: SendPeer) -> None:
        """Send one frame over a connection of its own."""
        address = (action.vm.host, action.vm.peer_port)
        try:
            with socket.create_connection(address, timeout=TIMEOUT_S) as sock:
                sock.sendall(frame)
        except OSError:
            self.counts['frames_failed'] += 1
        finally:
            with self.lock:
                self.under_way[action.vm.name] -= 1

    def receive_datagrams(self) -> None:
        """Take datagrams until the link is closed."""
        while not self.is_closed:
            try:
                data = self.datagrams.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                continue
            self.take_frame(data)

    def accept_connections(self) -> None:
        """Take connections until the link is closed."""
        while not self.is_closed:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                continue
            self.receivers.submit(self.receive_frame, sock)

    def receive_frame(self, sock: socket.socket) -> None:
        """Read one frame, up to the end of its connection."""
        data = bytearray()
        with sock:
            sock.settimeout(TIMEOUT_S)
            try:
                while chunk := sock.recv(65536):
                    data += chunk
                    if len(data) > MAX_FRAME_BYTES:
                        break
            except OSError:
                self.counts['frames_failed'] += 1
                return
        self.take_frame(bytes(data))

    def take_frame(self, data: bytes) -> None:
        """Post the message in a frame, or count that there is none."""
        self.counts['bytes_received'] += len(data)
        envelope = decode_frame(data)
        if isinstance(envelope, Failure):
            self.counts['frames_malformed'] += 1
            return
        self.post(PeerMessageReceived(envelope.sender, envelope.message))

    def close(self) -> None:
        """Stop receiving; let messages under way leave."""
        self.is_closed = True
        self.senders.shutdown(wait=True)
        for sock in (self.datagrams, self.listener):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        self.receivers.shutdown(wait=False, cancel_futures=True)


def bind_both(host: str, port: int, tries: int = 50) -> tuple[socket.socket, socket.socket]:
    """Bind TCP and UDP sockets to the same port."""
    while True:
        listener = socket.create_server((host, port), backlog=BACKLOG)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            datagrams.bind((host, listener.getsockname()[1]))
        except OSError:
            listener.close()
            datagrams.close()
            tries -= 1
            if port or not tries:
                raise
            continue
        return listener, datagrams
