"""WSGI applications for readiness checks, the directory, peers and operators."""

import asyncio

import msgspec

from ..gateway.member import Member
from ..gateway.node import Gateway
from ..gateway.settings import GatewaySettings
from ..platform.directory import Lookup, read_lookup, write_members
from ..platform.names import DIRECTORY_PATH, READINESS_PATH
from ..wire.changes import (
    ACCEPTED_HEADER,
    CHANGES_PATH,
    DICTIONARY_HEADER,
    ChangesRequest,
    read_pull,
    write_changes,
)
from ..wire.http import HttpResponse
from .caller_channel import CHANNEL_KEY
from .clock import read_clock_ms
from .front import FrontApp
from .log_lines import write_line
from .metrics import render_gateway

DIRECTORY_TTL_S = 1.0
"""Time for which callers cache a directory answer; some cache it three times as long."""

MAX_CACHED_RESPONSES = 16
"""Responses to pulls that are kept until the next update of the store's copy."""

STATE_PATH = '/v1/state'
METRICS_PATH = '/metrics'


class GatewayPages:
    """
    WSGI applications of one process, one for each kind of address.

    :param front: server whose memory and refusals the metrics show, None: neither
    :param loop: event loop in whose thread the core is accessed
    :param cached_changes: responses by the key of their request: many peers send the same one
    :param cached_update_count: number of updates of the core's view that these responses include
    """

    __slots__ = ('cached_changes', 'cached_update_count', 'core', 'front', 'loop', 'settings')

    def __init__(
        self,
        core: Gateway,
        loop: asyncio.AbstractEventLoop,
        settings: GatewaySettings,
        front: FrontApp | None = None,
    ):
        self.front = front
        self.core = core
        self.loop = loop
        self.settings = settings
        self.cached_changes: dict[tuple, HttpResponse] = {}
        self.cached_update_count = 0

    def serve_readiness(self, environ: dict, start_response) -> list[bytes]:
        """Answer the platform's readiness check: whether this VM accepts callers."""
        is_ready = environ['PATH_INFO'] == READINESS_PATH and self.core.is_ready()
        status = '200 OK' if is_ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']

    def serve_directory(self, environ: dict, start_response) -> list[bytes]:
        """Answer a directory lookup with the VMs that a caller should use."""
        if environ['PATH_INFO'] != DIRECTORY_PATH:
            return self.serve_unknown(environ, start_response)
        lookup = read_lookup(environ['QUERY_STRING'])
        members = asyncio.run_coroutine_threadsafe(self.list_members(lookup), self.loop).result()
        if not members:
            start_response('503 Service Unavailable', [('Content-Length', '0')])
            return [b'']
        ttl_s = min(DIRECTORY_TTL_S, self.settings.max_ttl_s)
        body = write_members(members, self.settings.callers.port, ttl_s)
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [body]

    def serve_peers(self, environ: dict, start_response) -> list[bytes]:
        """Serve peers and operators."""
        path = environ['PATH_INFO']
        if path == CHANGES_PATH:
            return self.serve_changes(environ, start_response)
        if path == STATE_PATH:
            state = asyncio.run_coroutine_threadsafe(self.describe(), self.loop).result()
            start_response('200 OK', [('Content-Type', 'application/json')])
            return [msgspec.json.encode(state)]
        if path == METRICS_PATH:
            content_type, body = render_gateway(self.core, self.front)
            start_response('200 OK', [('Content-Type', content_type)])
            return [body]
        return self.serve_unknown(environ, start_response)

    def serve_unknown(self, environ: dict, start_response) -> list[bytes]:
        """Answer 404 for an unknown path."""
        start_response('404 Not Found', [('Content-Type', 'text/plain')])
        return [f'{environ["PATH_INFO"]} is not served here\n'.encode()]

    def serve_changes(self, environ: dict, start_response) -> list[bytes]:
        """Answer a peer with the changes of the store after a revision."""
        names = (ACCEPTED_HEADER, DICTIONARY_HEADER)
        headers = {
            name: environ.get(f'HTTP_{name.upper().replace("-", "_")}', '') for name in names
        }
        request = read_pull(environ['QUERY_STRING'], headers)
        channel = environ.get(CHANNEL_KEY)
        if channel is not None:
            channel.is_from_vm = True
        peer = environ['REMOTE_ADDR']
        found = asyncio.run_coroutine_threadsafe(self.list_changes(request, peer), self.loop)
        response = found.result()
        start_response(response.status, response.headers)
        return [response.body]

    async def list_changes(self, request: ChangesRequest, peer: str) -> HttpResponse:
        """Return the response with the changes after a revision; runs in the loop's thread."""
        view = self.core.view
        is_outdated = self.cached_update_count != view.update_count
        if is_outdated or len(self.cached_changes) >= MAX_CACHED_RESPONSES:
            self.cached_update_count = view.update_count
            self.cached_changes.clear()
        response = self.cached_changes.get(request.key)
        if response is None:
            changes = view.forward_changes(request.revision, request.epoch)
            response = self.cached_changes[request.key] = write_changes(changes, request, view)
        byte_count = len(response.body)
        self.core.counters.add('changes_served')
        self.core.counters.add('changes_served_bytes', amount=byte_count)
        fields = {'peer': peer, 'after': request.revision, 'epoch': request.epoch}
        figures = {'revision': view.revision, 'bytes': byte_count}
        write_line('changes_served', {**fields, **figures})
        return response

    async def list_members(self, lookup: Lookup) -> list[Member]:
        """Return the VMs for a caller's zone and region; runs in the loop's thread."""
        return self.core.best_members(lookup.zone, lookup.region, read_clock_ms(), lookup.host)

    async def describe(self) -> dict:
        """Return the state of the core; runs in the loop's thread."""
        return self.core.describe()
