"""Stand-in for the platform: configuration service and VM list, with reads and watches."""

import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import msgspec

from beechbridge.document import Document, encode_document
from beechbridge.models import Vm, VmList, VmState

CALLS_PER_S = 2000


class PlatformServer(ThreadingHTTPServer):
    """
    The platform's services, with methods to change what they serve and to inject faults.

    :param document: document served now; faults may replace it by an earlier generation
    :param is_down: whether every call fails with status 503
    """

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, host: str = '127.0.0.1', port: int = 0):
        self.document: Document | None = None
        self.vms: dict[str, Vm] = {}
        self.is_down = False
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self.rejected_calls = 0
        self.changed = threading.Condition()
        super().__init__((host, port), PlatformHandler)
        self.port = self.server_address[1]

    def start(self) -> None:
        """Serve in a thread."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def count_call(self, path: str) -> bool:
        """Count a call; return False if it exceeds the rate limit shared by all readers."""
        second = int(time.monotonic())
        with self.changed:
            self.calls[path] += 1
            self.calls_by_second[second] += 1
            if self.calls_by_second[second] <= CALLS_PER_S:
                return True
            self.rejected_calls += 1
            return False

    def publish(self, document: Document) -> None:
        """Serve a document from now on, whatever its generation."""
        with self.changed:
            self.document = document
            self.changed.notify_all()

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of readers that have disconnected."""

    def list_vm(self, vm: Vm) -> None:
        """Add a VM to the list."""
        self.vms[vm.name] = vm

    def mark_leaving(self, name: str) -> None:
        """Set the state of a VM to leaving."""
        self.vms[name] = msgspec.structs.replace(self.vms[name], state=VmState.LEAVING)

    def unlist_vm(self, name: str) -> None:
        """Remove a VM from the list."""
        self.vms.pop(name, None)


class PlatformHandler(BaseHTTPRequestHandler):
    """Request handler for the platform's published protocol."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    server: PlatformServer

    def log_message(self, *arguments) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Serve a read or a watch."""
        url = urlsplit(self.path)
        if not self.server.count_call(url.path) or self.server.is_down:
            self.reply(503, b'')
            return
        if url.path == '/v1/vms':
            body = msgspec.json.encode(VmList(tuple(self.server.vms.values())))
            self.reply(200, body)
            return
        parameters = parse_qs(url.query)
        after = int(parameters.get('after', ['0'])[0])
        wait_ms = int(parameters.get('wait_ms', ['0'])[0])
        self.serve_document(after, wait_ms)

    def serve_document(self, after: int, wait_ms: int) -> None:
        """Serve the document once it is newer than a generation, or 304 after the wait."""
        server = self.server

        def has_newer_document() -> bool:
            return server.document is not None and server.document.generation > after

        with server.changed:
            server.changed.wait_for(has_newer_document, wait_ms / 1000.0)
            document = server.document
        if document is None or not has_newer_document():
            self.reply(304, b'')
            return
        self.reply(200, encode_document(document))

    def reply(self, status: int, body: bytes) -> None:
        """Write a reply."""
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
