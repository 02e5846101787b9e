"""Proxy for messages between VMs, with which a scenario can simulate a network partition."""

import socket
import threading

from beechbridge.daemon.peers import MAX_DATAGRAM_BYTES, bind_tcp_and_udp
from beechbridge.failures import Failure
from beechbridge.wire.codec import decode_frame
from demo.fleet import HOST

TIMEOUT_S = 2.0


class PeerProxy:
    """
    Proxy in front of one VM's peer address.

    :param name: name of the VM behind the proxy
    :param partition_of: partition of each VM by name, empty for none; shared by all proxies
    """

    def __init__(self, name: str, target_port: int, partition_of: dict[str, int]):
        self.name = name
        self.target = (HOST, target_port)
        self.partition_of = partition_of
        self.listener, self.udp_socket = bind_tcp_and_udp(HOST, 0)
        self.port = self.listener.getsockname()[1]
        for target in (self.forward_datagrams, self.forward_connections):
            threading.Thread(target=target, daemon=True).start()

    def allows(self, frame: bytes) -> bool:
        """Return whether a frame's sender is in the same partition as this VM."""
        envelope = decode_frame(frame)
        if isinstance(envelope, Failure):
            return False
        return self.partition_of.get(envelope.sender.name) == self.partition_of.get(self.name)

    def forward_datagrams(self) -> None:
        """Forward datagrams until the process ends."""
        while True:
            frame = self.udp_socket.recv(MAX_DATAGRAM_BYTES)
            if self.allows(frame):
                self.udp_socket.sendto(frame, self.target)

    def forward_connections(self) -> None:
        """Forward connections, each with one frame, until the process ends."""
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.forward_frame, args=(sock,), daemon=True).start()

    def forward_frame(self, sock: socket.socket) -> None:
        """Forward the frame of one connection."""
        frame = bytearray()
        try:
            with sock:
                sock.settimeout(TIMEOUT_S)
                while chunk := sock.recv(65536):
                    frame += chunk
            if not self.allows(bytes(frame)):
                return
            with socket.create_connection(self.target, TIMEOUT_S) as target_sock:
                target_sock.sendall(frame)
        except OSError:
            return
