"""Settings of one daemon, read from TOML."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from ..core.limits import Limits
from ..failures import InputFailure
from ..fields import decode_toml
from ..models import DurationMs, Name

Host = Annotated[str, Meta(min_length=1, max_length=255)]
AnyPort = Annotated[int, Meta(ge=0, le=65535)]
ThreadCount = Annotated[int, Meta(ge=10, le=2048)]


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """This VM's name, data centre and addresses; port 0 lets the system choose."""

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
    Bounds on the work taken on.

    :param caller_threads: caller requests served at once
    :param upstream_threads: exchanges with upstreams that run at once
    :param body_bytes: largest body of a caller's request
    :param batch_queries: most queries in one batch
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
        """Return the limits that the core works with."""
        return Limits(
            self.limits.active_queries,
            self.limits.queue_length,
            self.limits.tickets,
            self.limits.ticket_keep_ms,
            self.limits.outcome_keep_ms,
        )


def parse_settings(text: str, source: str) -> Settings | InputFailure:
    """Read settings from TOML text."""
    return decode_toml(text, Settings, source)


def load_settings(path: Path) -> Settings | InputFailure:
    """Read settings from a file."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return InputFailure(str(path), 'file', type(error).__name__, 'a readable UTF-8 file')
    return parse_settings(text, str(path))
