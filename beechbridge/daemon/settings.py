"""Settings of one daemon, read from a TOML file."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..core.limits import Limits
from ..failures import Failure, InputFailure
from ..fields import decode_toml, describe_read_error
from ..models import DurationMs, Host, Name

AnyPort = Annotated[int, Meta(ge=0, le=65535)]
ThreadCount = Annotated[int, Meta(ge=10, le=2048)]


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """This VM's name, data centre and addresses; port 0 lets the system choose a port."""

    name: Name
    place: Name
    host: Host
    caller_port: AnyPort
    peer_port: AnyPort
    operations_port: AnyPort


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the platform's configuration service and VM list."""

    host: Host
    port: AnyPort


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Limits on admitted work and on resources.

    :param active_queries: maximum number of queries in progress
    :param queue_length: maximum number of sub-requests that wait for one replica
    :param tickets: maximum number of entries in the ticket table
    :param ticket_keep_ms: time that an unused ticket stays valid
    :param outcome_keep_ms: time that the outcome of a ticket is kept for retries
    :param caller_threads: maximum number of caller requests handled concurrently
    :param upstream_threads: maximum number of concurrent exchanges with upstreams
    :param body_bytes: maximum size of a caller's request body in bytes
    :param batch_queries: maximum number of queries in a batch
    """

    active_queries: Annotated[int, Meta(ge=1, le=100_000)] = 1000
    queue_length: Annotated[int, Meta(ge=1, le=10_000)] = 600
    tickets: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    ticket_keep_ms: DurationMs = 10_000
    outcome_keep_ms: DurationMs = 600_000
    caller_threads: ThreadCount = 128
    upstream_threads: ThreadCount = 256
    body_bytes: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    batch_queries: Annotated[int, Meta(ge=1, le=10_000)] = 1000


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    vm: VmSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()

    def core_limits(self) -> Limits:
        """Return the limits that apply to the core."""
        return Limits(
            self.limits.active_queries,
            self.limits.queue_length,
            self.limits.tickets,
            self.limits.ticket_keep_ms,
            self.limits.outcome_keep_ms,
        )


def parse_settings(text: str, source: str) -> Settings | InputFailure:
    """Parse settings from TOML text; `source` names the text in failures."""
    return decode_toml(text, Settings, source)


def load_settings(path: Path) -> Settings | Failure:
    """Read settings from a file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return describe_read_error(
            error, f'settings file {str(path)!r}', 'give the path of a readable UTF-8 file'
        )
    return parse_settings(text, str(path))
