"""Stateful test of gateways whose store is restored from older copies, under random steps."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from beechbridge.gateway.events import ChangesReceived
from beechbridge.gateway.models import Item
from beechbridge.gateway.routes import RoutingTable
from beechbridge.wire.fleet import decode_changes, encode_changes

from .test_store_updates import LIMITS, EmptyReader, entry

VMS = 2
PREFIXES = ('replica/', 'table')
LEASE_MS = 3_600.0
"""Time after which the entry of a replica that does not run expires."""

SETTLED_MS = 8_000.0
READY, DRAINING, LEFT = range(3)


class Replica:
    """A replica as it is, whatever the store says."""

    def __init__(self, number):
        self.key = f'replica/r-{number}'
        self.replica_id = f'r-{number}'
        self.port = 8_000 + number
        self.phase = READY

    def entry(self):
        return entry(
            replica_id=self.replica_id, port=self.port, is_draining=self.phase == DRAINING
        )


class RestorableStore:
    """The store with its history; it can be restored from a copy."""

    def __init__(self):
        self.decoded = {}
        self.epoch = 1
        self.revision = 1
        self.items = {}
        self.history = []
        self.copies = []

    def write(self, key, decoded):
        self.copies.append((dict(self.items), list(self.history), self.revision))
        self.revision += 1
        value = None
        if decoded is not None:
            value = f'{key}@{self.epoch}.{self.revision}'.encode()
            self.decoded[value] = decoded
        item = Item(key, value, self.revision)
        self.history.append(item)
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = item

    def restore(self, lost_writes):
        """Go back to the copy from before the last writes."""
        self.epoch += 1
        self.items, self.history, self.revision = self.copies[-lost_writes:][0]
        del self.copies[-lost_writes:]

    def changes_for(self, view):
        if view.epoch != self.epoch:
            items = list(self.items.values())
            return ChangesReceived(items, self.revision, PREFIXES, epoch=self.epoch)
        changes = [item for item in self.history if item.revision > view.revision]
        return ChangesReceived(changes, self.revision, epoch=self.epoch)


class EpochsMachine(RuleBasedStateMachine):
    """Two gateways that read a store, which is restored from copies, and each other."""

    def __init__(self):
        super().__init__()
        self.store = RestorableStore()
        self.replicas = []
        self.version = 0
        self.restored_ms = None
        self.now_ms = 0.0
        self.vms = []
        self.versions = []
        self.worst_phases = []

    @initialize()
    def start(self):
        self.write_table()
        self.start_replica()
        for _ in range(VMS):
            self.vms.append(EmptyReader(self.store.decoded))
            self.versions.append(0)
            self.worst_phases.append({})
        self.read_store_everywhere()
        self.wait(SETTLED_MS)

    @rule()
    def write_table(self):
        self.version += 1
        self.write_table_again()

    @rule()
    def write_table_again(self):
        self.store.write('table', RoutingTable(self.version, [], {}, LIMITS))

    @rule()
    def start_replica(self):
        replica = Replica(len(self.replicas))
        self.replicas.append(replica)
        self.store.write(replica.key, replica.entry())

    @rule(which=st.integers(0, 9), is_seen=st.booleans())
    def drain(self, which, is_seen):
        replica = self.replicas[which % len(self.replicas)]
        replica.phase = max(replica.phase, DRAINING)
        self.write_entry_again(which)
        if is_seen:
            self.read_store_everywhere()

    @rule(which=st.integers(0, 9), is_seen=st.booleans())
    def leave(self, which, is_seen):
        replica = self.replicas[which % len(self.replicas)]
        replica.phase = LEFT
        if replica.key in self.store.items:
            self.store.write(replica.key, None)
        if is_seen:
            self.read_store_everywhere()

    @rule(which=st.integers(0, 9))
    def write_entry_again(self, which):
        replica = self.replicas[which % len(self.replicas)]
        if replica.phase != LEFT:
            self.store.write(replica.key, replica.entry())

    @precondition(lambda self: self.store.copies)
    @rule(lost_writes=st.integers(1, 5), is_seen=st.booleans())
    def restore(self, lost_writes, is_seen):
        self.store.restore(lost_writes)
        self.restored_ms = self.now_ms
        if is_seen:
            self.read_store_everywhere()

    @rule(index=st.integers(0, VMS - 1))
    def read_store(self, index):
        vm = self.vms[index]
        vm.deliver(self.store.changes_for(vm.gateway.view))

    @rule()
    def read_store_everywhere(self):
        for index in range(VMS):
            self.read_store(index)

    @rule(index=st.integers(0, VMS - 1))
    def pull(self, index):
        vm, other = self.vms[index], self.vms[1 - index]
        view = vm.gateway.view
        changes = other.gateway.view.forward_changes(view.revision, view.epoch)
        vm.deliver(decode_changes(encode_changes(changes)))

    @rule(index=st.integers(0, VMS - 1))
    def restart(self, index):
        self.vms[index] = EmptyReader(self.store.decoded)
        self.versions[index] = 0
        self.worst_phases[index] = {}

    @precondition(lambda self: self.vms)
    @rule(duration_ms=st.sampled_from([100.0, 1_000.0, 2_500.0]))
    def wait(self, duration_ms):
        self.now_ms += duration_ms
        if self.restored_ms is not None and self.now_ms - self.restored_ms >= LEASE_MS:
            self.expire_entries()
        for vm in self.vms:
            vm.wait(duration_ms)

    def expire_entries(self):
        """Expire the restored entries of replicas that left; VMs in touch see it."""
        self.restored_ms = None
        for replica in self.replicas:
            if replica.phase == LEFT and replica.key in self.store.items:
                self.store.write(replica.key, None)
        for index in range(VMS):
            self.read_store(index)

    @invariant()
    def tables_never_go_back(self):
        for index, vm in enumerate(self.vms):
            table = vm.gateway.table
            version = table.version if table else 0
            assert version >= self.versions[index], (version, self.versions[index])
            self.versions[index] = version

    @invariant()
    def replicas_seen_to_drain_or_leave_are_not_used_again(self):
        for index, vm in enumerate(self.vms):
            worst = self.worst_phases[index]
            for replica in self.replicas:
                state = vm.gateway.replica_by_key.get(replica.key)
                is_usable = state is not None and state.is_usable
                assert not (is_usable and worst.get(replica.key, READY) > READY), replica.key
                if state is not None and state.entry.is_draining:
                    worst[replica.key] = DRAINING
                if state is None and replica.phase == LEFT and replica.key in worst:
                    worst[replica.key] = LEFT
                if state is not None:
                    worst.setdefault(replica.key, READY)

    def teardown(self):
        """Check that all VMs know the truth once all of it is written again."""
        if not self.vms:
            return
        self.write_table_again()
        for which in range(len(self.replicas)):
            self.write_entry_again(which)
        self.expire_entries()
        for vm in self.vms:
            vm.wait(SETTLED_MS)
        ready_count = sum(replica.phase == READY for replica in self.replicas)
        for index, vm in enumerate(self.vms):
            self.read_store(index)
            assert vm.gateway.table.version == self.version
            assert vm.usable_count == ready_count, (vm.usable_count, ready_count)


EpochsTest = EpochsMachine.TestCase
EpochsTest.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=40
)
