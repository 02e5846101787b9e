"""Clients of the platform's services, which are read-only."""

import http.client
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Protocol

import logbook
import msgspec
from msgspec import Meta

from ..actions import ReadConfiguration
from ..document import Document, decode_document
from ..events import ConfigurationReceived, Event, VmListReceived
from ..failures import Failure, InputFailure, PlatformFailure, Reason
from ..fields import convert, decode_json
from ..models import Vm, VmList
from ..wire.bounded_http import LimitedConnection, OversizedResponseError, read_body

CALL_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_VM_LIST_BYTES = 16 * 1024 * 1024
MAX_HEAD_BYTES = 65_536
NOT_MODIFIED = 304
VM_LIST = 'VM list'
MAX_VMS = 100_000
MAX_LOGGED_ENTRIES = 20
"""Entries of one VM list that cannot be read up to which each has a log line."""

logger = logbook.Logger('platform')


class ConfigurationService(Protocol):
    """The platform's configuration service."""

    def read(self, after_generation: int, wait_ms: int) -> Document | PlatformFailure | None:
        """Return the document, or None if the wait ended without a newer generation."""


class VmListService(Protocol):
    """The platform's list of VMs."""

    def read(self) -> VmList | PlatformFailure:
        """Return the list."""


class HttpConfigurationService:
    """Client of the configuration service over HTTP."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    def read(self, after_generation: int, wait_ms: int) -> Document | PlatformFailure | None:
        """Read the published document; wait up to `wait_ms` for a newer generation."""
        path = f'/v1/configuration?after={after_generation}&wait_ms={wait_ms}'
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1000.0
        body = get(self.host, self.port, path, timeout_s, MAX_DOCUMENT_BYTES)
        if body is None or isinstance(body, PlatformFailure):
            return body
        document = decode_document(body, 'configuration service')
        if isinstance(document, Failure):
            return PlatformFailure(Reason.INVALID_DOCUMENT, detail=document.detail)
        return document


class VmListBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the VM list; each VM is validated separately."""

    vms: Annotated[list, Meta(max_length=MAX_VMS)]


class HttpVmListService:
    """
    Client of the VM list service over HTTP.

    :param odd_entries: failures of entries in the last list, which were logged
    """

    __slots__ = ('host', 'odd_entries', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.odd_entries: set[str] = set()

    def read(self) -> VmList | PlatformFailure:
        """Read the list."""
        body = get(self.host, self.port, '/v1/vms', CALL_TIMEOUT_S, MAX_VM_LIST_BYTES)
        if body is None:
            return PlatformFailure(
                Reason.PLATFORM_UNAVAILABLE,
                detail='VM list service returned HTTP status 304 and no list',
            )
        if isinstance(body, PlatformFailure):
            return body
        vms, failures = read_vms(body)
        odd_entries = {failure.detail for failure in failures}
        for detail in sorted(odd_entries - self.odd_entries)[:MAX_LOGGED_ENTRIES]:
            logger.warning('an entry of the VM list is left out: {}', detail)
        self.odd_entries = odd_entries
        if not vms and failures:
            return PlatformFailure(Reason.INVALID_INPUT, detail=failures[0].detail)
        return VmList(tuple(vms))


def read_vms(body: bytes) -> tuple[list[Vm], list[InputFailure]]:
    """Return the VMs of a list, and failures of the entries that name none, or of the list."""
    vm_list = decode_json(body, VmListBody, VM_LIST)
    if isinstance(vm_list, Failure):
        return [], [vm_list]
    vms = []
    failures = []
    for number, value in enumerate(vm_list.vms):
        vm = convert(value, Vm, VM_LIST, f'vms[{number}]')
        if isinstance(vm, Failure):
            failures.append(vm)
            continue
        vms.append(vm)
    return vms, failures


def get(
    host: str, port: int, path: str, timeout_s: float, max_bytes: int
) -> bytes | PlatformFailure | None:
    """Send one GET request; return None if the service answers 304 Not Modified."""
    client = LimitedConnection(host, port, timeout_s, MAX_HEAD_BYTES + max_bytes)
    client.limit_time(timeout_s)
    try:
        client.request('GET', path)
        response = client.getresponse()
        body = read_body(response)
        if len(body) > max_bytes:
            raise OversizedResponseError
    except OversizedResponseError:
        return PlatformFailure(
            Reason.TOO_LARGE,
            detail=f'GET {path} from {host}:{port} returned more than {max_bytes} bytes',
        )
    except (OSError, http.client.HTTPException) as error:
        return PlatformFailure(
            Reason.PLATFORM_UNAVAILABLE,
            detail=f'GET {path} from {host}:{port} failed: {type(error).__name__}',
        )
    finally:
        client.close()
    if response.status == NOT_MODIFIED:
        return None
    if response.status != http.client.OK:
        return PlatformFailure(
            Reason.PLATFORM_UNAVAILABLE,
            detail=f'GET {path} from {host}:{port} returned HTTP status {response.status}',
        )
    return body


class PlatformClient:
    """Reads the platform's services for the core, each service in its own thread."""

    __slots__ = ('configuration_service', 'executors', 'post', 'vm_list_service')

    def __init__(
        self,
        post: Callable[[Event], None],
        configuration_service: ConfigurationService,
        vm_list_service: VmListService,
    ):
        self.post = post
        self.configuration_service = configuration_service
        self.vm_list_service = vm_list_service
        self.executors = {
            'configuration': ThreadPoolExecutor(1, thread_name_prefix='configuration'),
            'vm_list': ThreadPoolExecutor(1, thread_name_prefix='vm-list'),
        }

    def read_configuration(self, action: ReadConfiguration) -> None:
        """Read the configuration service in the background."""
        self.executors['configuration'].submit(self.fetch_configuration, action)

    def fetch_configuration(self, action: ReadConfiguration) -> None:
        """Read the configuration service and post the result."""
        result = self.configuration_service.read(action.after_generation, action.wait_ms)
        self.post(ConfigurationReceived(result))

    def read_vm_list(self) -> None:
        """Read the VM list in the background."""
        self.executors['vm_list'].submit(self.fetch_vm_list)

    def fetch_vm_list(self) -> None:
        """Read the VM list and post the result."""
        self.post(VmListReceived(self.vm_list_service.read()))

    def close(self) -> None:
        """Shut down the threads after the calls that are in flight."""
        for executor in self.executors.values():
            executor.shutdown(wait=False, cancel_futures=True)
