"""
Selects the active configuration document and distributes it in the fleet.

Documents are ordered by generation. The first valid document of the highest generation wins and
is never replaced by an older one, whatever its source.
"""

from ...actions import LogChange, ReadConfiguration, SendPeer
from ...document import Configuration, Delta, Document, apply_delta, check_document, compute_delta
from ...events import ConfigurationReceived
from ...failures import Failure, Reason
from ...messages import ConfigurationOffered, ConfigurationWanted
from ...models import Vm
from ...record import Record
from ..hashing import rank_names
from ..interface import CoreInterface

WATCH_TIMEOUT_MS = 10_000
"""How long the configuration service may hold a watch request (long poll)."""

MIN_RETRY_DELAY_MS = 250.0
MAX_RETRY_DELAY_MS = 5_000.0
FALLBACK_READ_INTERVAL_MS = 10_000.0
"""Interval at which a VM that is not a reader reads the service itself."""

NEVER_MS = float('-inf')
HISTORY_LENGTH = 8
"""Number of recent documents kept, including the newest, to send deltas to peers."""

REQUEST_TIMEOUT_MS = 2_000.0
"""Time after which the answer to a request to a peer counts as lost."""


class ReadTimer(Record):
    """Fires when the next read of the configuration service is due."""

    __slots__ = ('sequence',)

    def __init__(self, sequence: int):
        self.sequence = sequence


class ConfigurationController:
    """
    The active configuration, and reads of newer documents.

    :param current: validated configuration, or None before the first one
    :param history: accepted documents, newest first
    :param requested_ms: time in milliseconds of the request to a peer that is not yet answered
    :param service_answered: whether the service has responded since the start
    """

    __slots__ = (
        'accepted_ms',
        'conflict',
        'current',
        'history',
        'is_reading',
        'read_failures',
        'rejected_digests',
        'requested_ms',
        'sequence',
        'service_answered',
        'was_reader',
    )

    def __init__(self):
        self.current: Configuration | None = None
        self.history: list[Document] = []
        self.service_answered = False
        self.is_reading = False
        self.read_failures = 0
        self.sequence = 0
        self.requested_ms = NEVER_MS
        self.accepted_ms = 0.0
        self.rejected_digests: set[str] = set()
        self.conflict = False
        self.was_reader = False

    @property
    def generation(self) -> int:
        """Return the active generation; 0 before the first one."""
        return self.current.generation if self.current else 0

    @property
    def digest(self) -> str:
        """Return the digest of the active document; '' before the first one."""
        return self.current.digest if self.current else ''

    def is_reader(self, core: CoreInterface) -> bool:
        """Return whether this VM watches the service on behalf of its data centre."""
        names = core.membership.names_in_place(core.place, core.now_ms)
        count = self.current.fleet.readers_per_place if self.current else 1
        return core.identity.name in rank_names('configuration', names)[:count]

    def update_reader_role(self, core: CoreInterface) -> None:
        """Read at once on becoming a reader, since the next scheduled read may be far off."""
        is_reader = self.is_reader(core)
        if is_reader and not self.was_reader and self.service_answered:
            self.refresh(core)
        self.was_reader = is_reader

    def try_activate(self, document: Document, source: str, core: CoreInterface) -> Failure | None:
        """Activate a document if it is newer and valid; return the failure otherwise."""
        if document.generation < self.generation:
            core.counters.add('documents_refused', Reason.STALE_GENERATION.value)
            return Failure(
                Reason.STALE_GENERATION, detail=f'{source}: older than the active generation'
            )
        if document.generation == self.generation:
            return self.check_same_generation(document, source, core)
        if document.digest in self.rejected_digests:
            return Failure(Reason.INVALID_DOCUMENT, detail=f'{source}: already rejected')
        checked = check_document(document)
        if isinstance(checked, Failure):
            self.rejected_digests.add(document.digest)
            core.counters.add('documents_refused', Reason.INVALID_DOCUMENT.value)
            subject = f'configuration {document.generation}'
            core.act(LogChange(subject, 'offered', f'refused ({checked.detail})'))
            return checked
        self.activate(document, checked, core)
        return None

    def check_same_generation(
        self, document: Document, source: str, core: CoreInterface
    ) -> Failure | None:
        """Reject a different document that has the active generation."""
        if document.digest == self.digest:
            return None
        core.counters.add('documents_refused', Reason.GENERATION_CONFLICT.value)
        self.report_conflict(core)
        detail = f'{source}: another document already has generation {document.generation}'
        return Failure(Reason.GENERATION_CONFLICT, detail=detail)

    def report_conflict(self, core: CoreInterface) -> None:
        """Log once that there are two documents of the active generation."""
        if self.conflict:
            return
        self.conflict = True
        core.act(LogChange(f'configuration {self.generation}', 'unique', 'in conflict'))

    def activate(self, document: Document, checked: Configuration, core: CoreInterface) -> None:
        """Make a validated configuration the active one, apply it and announce it to peers."""
        core.act(LogChange('configuration', str(self.generation), str(document.generation)))
        self.current = checked
        self.history.insert(0, document)
        del self.history[HISTORY_LENGTH:]
        self.rejected_digests.clear()
        self.conflict = False
        self.accepted_ms = core.now_ms
        core.counters.add('documents_accepted')
        core.snapshots.invalidate_all()
        core.upstreams.apply_configuration(checked, core)
        core.membership.send_gossip(core)

    def compare_gossip(
        self, sender: Vm | None, generation: int, digest: str, core: CoreInterface
    ) -> None:
        """Request a peer's configuration if its generation is newer than the active one."""
        if generation == self.generation and generation and digest != self.digest:
            core.counters.add('generation_conflicts_seen')
            self.report_conflict(core)
            return
        if generation <= self.generation or sender is None or digest in self.rejected_digests:
            return
        if core.now_ms - self.requested_ms < REQUEST_TIMEOUT_MS:
            # An answer may be on its way; it brings the newest document of that peer.
            return
        self.request(sender, self.generation, self.digest, core)

    def request(self, vm: Vm, generation: int, digest: str, core: CoreInterface) -> None:
        """Request from a peer what is newer than a document."""
        self.requested_ms = core.now_ms
        core.act(SendPeer(vm, ConfigurationWanted(generation, digest)))

    def handle_configuration_wanted(
        self, vm: Vm, message: ConfigurationWanted, core: CoreInterface
    ) -> None:
        """Send a peer the delta from its document, or else the complete newest document."""
        if not self.history or message.generation >= self.generation:
            return
        newest = self.history[0]
        for document in self.history:
            if (document.generation, document.digest) != (message.generation, message.digest):
                continue
            core.counters.add('documents_sent', 'delta')
            core.act(SendPeer(vm, ConfigurationOffered(compute_delta(document, newest))))
            return
        core.counters.add('documents_sent', 'whole')
        core.act(SendPeer(vm, ConfigurationOffered(newest)))

    def handle_configuration_offered(
        self, vm: Vm | None, content: Document | Delta, core: CoreInterface
    ) -> None:
        """Handle a document or a delta sent by a peer."""
        self.requested_ms = NEVER_MS
        if isinstance(content, Document):
            self.try_activate(content, 'peer', core)
            return
        if content.generation <= self.generation or not self.history:
            return
        document = apply_delta(self.history[0], content)
        if document is not None:
            self.try_activate(document, 'peer', core)
            return
        core.counters.add('documents_refused', Reason.DIGEST_MISMATCH.value)
        if vm is not None:
            self.request(vm, 0, '', core)

    def refresh(self, core: CoreInterface) -> None:
        """Read the service ahead of schedule, as when an upstream has a newer shard map."""
        if not self.is_reading:
            self.read(core)

    def read(self, core: CoreInterface) -> None:
        """Watch the service if this VM is a reader, otherwise read it once."""
        if self.is_reading:
            return
        self.is_reading = True
        wait_ms = WATCH_TIMEOUT_MS if self.is_reader(core) and self.service_answered else 0
        core.counters.add('service_calls', 'configuration')
        core.act(ReadConfiguration(self.generation, wait_ms))

    def arm_read(self, delay_ms: float, core: CoreInterface) -> None:
        """Schedule the next read of the service after a delay with jitter."""
        self.sequence += 1
        due_ms = core.now_ms + delay_ms * core.rng.uniform(0.5, 1.0)
        core.timers.arm(due_ms, ReadTimer(self.sequence))

    def describe(self, core: CoreInterface) -> dict:
        """Return the state for a state dump."""
        return {
            'generation': self.generation,
            'digest': self.digest,
            'age_ms': round(core.now_ms - self.accepted_ms) if self.current else None,
            'is_reader': self.is_reader(core),
            'service_answered': self.service_answered,
            'read_failures': self.read_failures,
            'conflict': self.conflict,
        }


def handle_configuration_received(event: ConfigurationReceived, core: CoreInterface) -> None:
    """Handle a response of the configuration service and schedule the next read."""
    controller = core.configuration
    controller.is_reading = False
    result = event.result
    if isinstance(result, Failure):
        if not controller.read_failures:
            core.act(LogChange('configuration service', 'answering', result.detail))
        controller.read_failures += 1
        core.counters.add('service_failures', 'configuration')
        exponent = min(controller.read_failures, 10) - 1
        delay_ms = min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2**exponent)
        controller.arm_read(delay_ms, core)
        return
    if controller.read_failures:
        core.act(LogChange('configuration service', 'failing', 'answering'))
    controller.read_failures = 0
    controller.service_answered = True
    rejection = None
    if result is not None:
        rejection = controller.try_activate(result, 'service', core)
    core.membership.check_view(core)
    if not controller.is_reader(core):
        controller.arm_read(FALLBACK_READ_INTERVAL_MS, core)
        return
    # The service answers a watch at once while its document is stale or rejected, so the next
    # read is delayed.
    stale = rejection is not None or (result is not None and result.generation < 1)
    controller.arm_read(MAX_RETRY_DELAY_MS if stale else MIN_RETRY_DELAY_MS, core)


def fire_read(timer: ReadTimer, core: CoreInterface) -> None:
    """Read the service, unless a later timer has been armed."""
    if timer.sequence == core.configuration.sequence:
        core.configuration.read(core)
