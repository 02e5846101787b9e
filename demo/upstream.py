"""Stand-in replicas of one back end, with slots, connection limits and snapshots."""

import random
import socket
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from beechbridge.models import ShardMap, key_position

RETAINED_SNAPSHOTS = 50
COLD_START_S = 2.0
COLD_FACTOR = 5.0
SILENT_TIMEOUT_S = 25.0
"""Time after which a replica closes a connection on which it stays silent."""


class Behaviour:
    """
    Settings and faults of a replica, which tests and scenarios change while it runs.

    :param service_ms: median time of one sub-request in a slot, in milliseconds
    :param straggler_share: share of sub-requests that take `straggler_factor` times as long
    :param queue_length: sub-requests that wait for a slot before further ones are shed
    :param health_lies: the load endpoint reports healthy even while the replica drains
    :param silent: never reply, like a process that hangs
    :param silent_before_s: never reply on connections opened before this monotonic time
    :param marks: add a row with the snapshot to each partial answer
    :param fault: fault of replies: '', 'truncate', 'duplicate', 'cross' (swap two) or 'drop'
    """

    __slots__ = (
        'cold_until_s',
        'draining',
        'fault',
        'health_lies',
        'lag',
        'marks',
        'moved',
        'queue_length',
        'service_ms',
        'silent',
        'silent_before_s',
        'straggler_factor',
        'straggler_share',
    )

    def __init__(self, service_ms: float = 4.0):
        self.service_ms = service_ms
        self.straggler_share = 0.0
        self.straggler_factor = 10.0
        self.queue_length = 16
        self.draining = False
        self.health_lies = False
        self.silent = False
        self.silent_before_s = 0.0
        self.marks = False
        self.fault = ''
        self.cold_until_s = 0.0
        self.lag = 0
        self.moved = False


class Index:
    """Rows of one back end, each with the snapshot that added it."""

    __slots__ = ('executions', 'lock', 'newest', 'oldest', 'rows', 'shard_maps')

    def __init__(self, shard_maps: list[tuple[int, ShardMap]], row_count: int):
        self.shard_maps = shard_maps
        self.rows: list[tuple[int, int, str, dict]] = []
        self.newest = max(1, max(first for first, _ in shard_maps))
        self.oldest = 1
        self.lock = threading.Lock()
        self.executions: Counter[str] = Counter()
        for number in range(row_count):
            self.add_row(f'record-{number:05d}', {'number': number}, 0)

    def add_row(self, key: str, value: dict, snapshot: int) -> None:
        """Add a row that is visible as of a snapshot."""
        self.rows.append((key_position(key), snapshot, key, value))

    def advance(self) -> int:
        """Publish a new snapshot."""
        with self.lock:
            self.newest += 1
            self.oldest = max(self.oldest, self.newest - RETAINED_SNAPSHOTS)
            return self.newest

    def execute(self, request_id: str, key: str, value: dict) -> int:
        """Run a non-idempotent request; return the snapshot that includes it."""
        with self.lock:
            self.executions[request_id] += 1
            self.newest += 1
            self.oldest = max(self.oldest, self.newest - RETAINED_SNAPSHOTS)
            self.add_row(key, value, self.newest)
            return self.newest

    def find(self, low: int, high: int, snapshot: int) -> list[dict]:
        """Return the rows of a range as of a snapshot, sorted by key."""
        found = []
        for position, added, key, value in list(self.rows):
            if low <= position < high and added <= snapshot:
                found.append({'key': key, 'value': value})
        return sorted(found, key=lambda row: row['key'])


class ReplicaServer(ThreadingHTTPServer):
    """One replica: an HTTP server with slots and a connection limit."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(
        self,
        index: Index,
        service: str,
        slots: int,
        connection_limit: int,
        connection_cost_ms: float,
        behaviour: Behaviour,
        host: str = '127.0.0.1',
        port: int = 0,
        seed: int = 0,
    ):
        self.index = index
        self.service = service
        self.slots = threading.Semaphore(slots)
        self.connection_limit = connection_limit
        self.connection_cost_ms = connection_cost_ms
        self.behaviour = behaviour
        self.rng = random.Random(seed)
        self.state_lock = threading.Lock()
        self.waiting = 0
        self.open_sockets: set[socket.socket] = set()
        self.peak_connections = 0
        self.refused_connections = 0
        self.counts: Counter[str] = Counter()
        self.cancelled: set[str] = set()
        self.previous_reply: bytes | None = None
        self.seen_requests: set[str] = set()
        super().__init__((host, port), UpstreamHandler)
        self.port = self.server_address[1]

    def start(self) -> None:
        """Serve in a thread."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request: socket.socket, client_address) -> None:
        """Refuse connections above the limit."""
        with self.state_lock:
            if len(self.open_sockets) >= self.connection_limit:
                self.refused_connections += 1
                is_refused = True
            else:
                is_refused = False
                self.open_sockets.add(request)
                self.peak_connections = max(self.peak_connections, len(self.open_sockets))
        if is_refused:
            request.close()
            return
        super().process_request(request, client_address)

    def shutdown_request(self, request: socket.socket) -> None:
        """Remove a connection from the open ones and close it."""
        with self.state_lock:
            self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Count connection errors instead of logging them."""
        self.counts['connection_errors'] += 1

    def kill(self) -> None:
        """Stop listening and drop all connections."""
        self.shutdown()
        self.server_close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Shut down every open connection."""
        with self.state_lock:
            sockets = list(self.open_sockets)
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def restart_cold(self) -> None:
        """Drop all connections and serve slowly for `COLD_START_S`."""
        self.behaviour.cold_until_s = time.monotonic() + COLD_START_S
        self.drop_connections()

    def snapshots(self) -> tuple[int, int]:
        """Return the oldest and newest snapshot that this replica serves."""
        newest = max(1, self.index.newest - self.behaviour.lag)
        return min(self.index.oldest, newest), newest

    def draw_service_s(self) -> float:
        """Draw the duration of one sub-request in seconds."""
        behaviour = self.behaviour
        with self.state_lock:
            duration_ms = behaviour.service_ms * self.rng.uniform(0.6, 1.4)
            if self.rng.random() < behaviour.straggler_share:
                duration_ms *= behaviour.straggler_factor
        if time.monotonic() < behaviour.cold_until_s:
            duration_ms *= COLD_FACTOR
        return duration_ms / 1000.0


class UpstreamHandler(BaseHTTPRequestHandler):
    """Request handler for the upstreams' published protocol."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1
    server: ReplicaServer

    def setup(self) -> None:
        """Delay a new connection by its cost."""
        super().setup()
        self.opened_s = time.monotonic()
        time.sleep(self.server.connection_cost_ms / 1000.0)

    def log_message(self, *arguments) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Serve the load endpoint."""
        behaviour = self.server.behaviour
        if self.hang_if_silent():
            return
        is_draining = behaviour.draining and not behaviour.health_lies
        self.reply('draining' if is_draining else 'done', executed=False)

    def do_POST(self) -> None:
        """Serve a shard query, a non-idempotent request or a cancellation."""
        length = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(length)
        if self.hang_if_silent():
            return
        if self.path == '/v1/cancel':
            self.server.cancelled.add(self.headers['X-Cancelled-Attempt-Id'])
            self.server.counts['cancel_orders'] += 1
            self.reply('done')
            return
        self.server.counts[self.path] += 1
        if self.server.behaviour.draining:
            self.server.counts['while_draining'] += 1
            self.reply('draining', executed=False)
            return
        self.serve_in_slot(body)

    def hang_if_silent(self) -> bool:
        """
        Hang without a reply if the connection is silent; return whether it was.

        This imitates a hung process or a connection that a middlebox has forgotten.
        """
        behaviour = self.server.behaviour
        if not behaviour.silent and self.opened_s >= behaviour.silent_before_s:
            return False
        time.sleep(SILENT_TIMEOUT_S)
        self.close_connection = True
        return True

    def serve_in_slot(self, body: bytes) -> None:
        """Wait for a slot, or shed the request."""
        server = self.server
        with server.state_lock:
            is_shed = server.waiting >= server.behaviour.queue_length
            server.waiting += not is_shed
        if is_shed:
            server.counts['shed'] += 1
            self.reply('shed', executed=False)
            return
        deadline_s = time.monotonic() + int(self.headers.get('X-Deadline-Ms', 60_000)) / 1000.0
        server.slots.acquire()
        try:
            with server.state_lock:
                server.waiting -= 1
            self.serve(body, deadline_s)
        finally:
            server.slots.release()

    def serve(self, body: bytes, deadline_s: float) -> None:
        """Run the request, or reply with the reason why it does not run."""
        server = self.server
        if time.monotonic() >= deadline_s:
            self.reply('expired', executed=False)
            return
        if self.headers['X-Attempt-Id'] in server.cancelled:
            self.reply('expired', executed=False)
            return
        if self.path == '/v1/shard-request':
            self.serve_request(body)
            return
        low, _, high = self.headers['X-Range'].partition('-')
        snapshot = int(self.headers['X-Snapshot'])
        oldest, newest = server.snapshots()
        if snapshot < oldest:
            self.reply('gone', executed=False)
            return
        if snapshot > newest:
            self.reply('not_yet', executed=False)
            return
        if server.behaviour.moved or not self.holds_shard(snapshot, int(low), int(high)):
            self.reply('moved', executed=False)
            return
        time.sleep(server.draw_service_s())
        server.seen_requests.add(self.headers['X-Request-Id'])
        rows = server.index.find(int(low), int(high), snapshot)
        if server.behaviour.marks:
            rows.append({'key': f'~{self.headers["X-Shard"]}', 'value': {'snapshot': snapshot}})
        self.reply('done', rows=rows, snapshot=snapshot, low=int(low), high=int(high))

    def holds_shard(self, snapshot: int, low: int, high: int) -> bool:
        """Return whether this service holds the shard with this range at a snapshot."""
        for first, shard_map in self.server.index.shard_maps:
            if first > snapshot:
                continue
            for shard in shard_map.shards:
                if shard.shard_id != self.headers['X-Shard']:
                    continue
                found = (shard.low, shard.high, shard.service)
                return found == (low, high, self.server.service)
            return False
        return False

    def serve_request(self, body: bytes) -> None:
        """Run a non-idempotent request."""
        request = msgspec.json.decode(body)
        time.sleep(self.server.draw_service_s())
        request_id = self.headers['X-Request-Id']
        snapshot = self.server.index.execute(request_id, request['key'], request['body'])
        self.reply('done', snapshot=snapshot, result={'filed': request['key']})

    def reply(self, status: str, executed: bool = True, **fields) -> None:
        """Write a reply that echoes the identifiers of the attempt."""
        oldest, newest = self.server.snapshots()
        content = {
            'status': status,
            'executed': executed,
            'request_id': self.headers.get('X-Request-Id', ''),
            'attempt_id': self.headers.get('X-Attempt-Id', ''),
            'shard': self.headers.get('X-Shard', ''),
            'oldest_snapshot': oldest,
            'newest_snapshot': newest,
            **fields,
        }
        body = msgspec.json.encode(content)
        fault = self.server.behaviour.fault if self.command == 'POST' else ''
        if fault == 'drop':
            self.close_connection = True
            return
        if fault == 'cross' and self.server.previous_reply is not None:
            body, self.server.previous_reply = self.server.previous_reply, body
        elif fault == 'cross':
            self.server.previous_reply = body
        self.write(body, fault)

    def write(self, body: bytes, fault: str) -> None:
        """Write headers and body, corrupted according to the fault."""
        self.send_response(200)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        if fault == 'truncate':
            self.wfile.write(body[: len(body) // 2])
            self.close_connection = True
            return
        self.wfile.write(body)
        if fault == 'duplicate':
            self.wfile.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body)
        self.wfile.flush()
