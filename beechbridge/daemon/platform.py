"""Clients of the platform's services, which can only be read and watched."""

import http.client
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from ..actions import ReadConfiguration
from ..document import Document, decode_document
from ..events import ConfigurationReceived, Event, VmListReceived
from ..failures import Failure, PlatformFailure, Reason
from ..fields import decode_json
from ..models import VmList

CALL_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1024 * 1024
MAX_LIST_BYTES = 16 * 1024 * 1024
NOT_MODIFIED = 304


class ConfigurationService(Protocol):
    """The platform's configuration service."""

    def read(self, after_generation: int, wait_ms: int) -> Document | PlatformFailure | None:
        """Return the document, or None if the wait ended with nothing after the generation."""


class VmListService(Protocol):
    """The platform's list of VMs."""

    def read(self) -> VmList | PlatformFailure:
        """Return the list."""


class HttpConfigurationService:
    """Configuration service over HTTP."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    def read(self, after_generation: int, wait_ms: int) -> Document | PlatformFailure | None:
        """Read the published document, or watch for a newer one."""
        path = f'/v1/configuration?after={after_generation}&wait_ms={wait_ms}'
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1000.0
        body = get(self.host, self.port, path, timeout_s, MAX_VALUE_BYTES)
        if body is None or isinstance(body, PlatformFailure):
            return body
        document = decode_document(body, 'configuration service')
        if isinstance(document, Failure):
            return PlatformFailure(Reason.INVALID_DOCUMENT, detail=document.detail)
        return document


class HttpVmListService:
    """VM list over HTTP."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    def read(self) -> VmList | PlatformFailure:
        """Read the list."""
        body = get(self.host, self.port, '/v1/vms', CALL_TIMEOUT_S, MAX_LIST_BYTES)
        if body is None:
            return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail='no list')
        if isinstance(body, PlatformFailure):
            return body
        vm_list = decode_json(body, VmList, 'VM list')
        if isinstance(vm_list, Failure):
            return PlatformFailure(Reason.INVALID_INPUT, detail=vm_list.detail)
        return vm_list


def get(
    host: str, port: int, path: str, timeout_s: float, max_bytes: int
) -> bytes | PlatformFailure | None:
    """Make one call; None if the service says that nothing changed."""
    client = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        client.request('GET', path)
        response = client.getresponse()
        body = response.read(max_bytes + 1)
    except (OSError, http.client.HTTPException) as error:
        return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=type(error).__name__)
    finally:
        client.close()
    if response.status == NOT_MODIFIED:
        return None
    if response.status != http.client.OK:
        return PlatformFailure(Reason.PLATFORM_UNAVAILABLE, detail=f'status {response.status}')
    if len(body) > max_bytes:
        return PlatformFailure(Reason.TOO_LARGE, detail=f'more than {max_bytes} bytes')
    return body


class PlatformClient:
    """Runs the core's reads of the platform, each kind in a thread of its own."""

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
        """Start a read of the configuration service."""
        self.executors['configuration'].submit(self.run_configuration, action)

    def run_configuration(self, action: ReadConfiguration) -> None:
        """Read the configuration service and post the result."""
        result = self.configuration_service.read(action.after_generation, action.wait_ms)
        self.post(ConfigurationReceived(result))

    def read_vm_list(self) -> None:
        """Start a read of the VM list."""
        self.executors['vm_list'].submit(self.run_vm_list)

    def run_vm_list(self) -> None:
        """Read the VM list and post the result."""
        self.post(VmListReceived(self.vm_list_service.read()))

    def close(self) -> None:
        """Let the threads end."""
        for executor in self.executors.values():
            executor.shutdown(wait=False, cancel_futures=True)
