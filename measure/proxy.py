"""Forwards the messages between VMs, so that a scenario can cut the fleet in two."""

import socket
import threading

from beechbridge.daemon.peers import MAX_DATAGRAM_BYTES, bind_tcp_and_udp
from beechbridge.failures import Failure
from beechbridge.wire.codec import decode_frame
from demo.fleet import HOST

TIMEOUT_S = 2.0


class PeerProxy:
    """
    Stands at one VM's peer address.

    :param name: the VM behind it
    :param side_of: VM to its side of the cut; shared by all proxies, empty for no cut
    """

    def __init__(self, name: str, target_port: int, side_of: dict[str, int]):
        self.name = name
        self.target = (HOST, target_port)
        self.side_of = side_of
        self.listener, self.datagrams = bind_tcp_and_udp(HOST, 0)
        self.port = self.listener.getsockname()[1]
        for target in (self.forward_datagrams, self.forward_connections):
            threading.Thread(target=target, daemon=True).start()

    def passes(self, frame: bytes) -> bool:
        """Tell whether a frame's sender is on this VM's side."""
        envelope = decode_frame(frame)
        if isinstance(envelope, Failure):
            return False
        return self.side_of.get(envelope.sender.name) == self.side_of.get(self.name)

    def forward_datagrams(self) -> None:
        """Forward datagrams for ever."""
        while True:
            frame = self.datagrams.recv(MAX_DATAGRAM_BYTES)
            if self.passes(frame):
                self.datagrams.sendto(frame, self.target)

    def forward_connections(self) -> None:
        """Forward connections for ever, each with one frame."""
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.forward_frame, args=(sock,), daemon=True).start()

    def forward_frame(self, sock: socket.socket) -> None:
        """Forward one connection's frame."""
        frame = bytearray()
        try:
            with sock:
                sock.settimeout(TIMEOUT_S)
                while chunk := sock.recv(65536):
                    frame += chunk
            if not self.passes(bytes(frame)):
                return
            with socket.create_connection(self.target, TIMEOUT_S) as onward:
                onward.sendall(frame)
        except OSError:
            return
