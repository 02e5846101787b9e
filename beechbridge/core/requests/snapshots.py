"""Choice of the snapshot that a query reads."""

from ...document import BackEnd
from ...models import ShardMap
from ...record import Record
from ..interface import CoreInterface

MAX_LAG_SNAPSHOTS = 2
"""Number of snapshots by which a replica may lag and still hold back the choice."""


class SnapshotChoice(Record):
    """A snapshot and its shard map."""

    __slots__ = ('shard_map', 'snapshot')

    def __init__(self, snapshot: int, shard_map: ShardMap):
        self.snapshot = snapshot
        self.shard_map = shard_map


class SnapshotsController:
    """Cache of the newest snapshot of each back end that all its shards can serve."""

    __slots__ = ('choices',)

    def __init__(self):
        self.choices: dict[str, SnapshotChoice] = {}

    def invalidate(self, back_end: str) -> None:
        """Drop a back end's choice after a replica reported other snapshots."""
        self.choices.pop(back_end, None)

    def invalidate_all(self) -> None:
        """Drop all choices, as the shard maps may have changed."""
        self.choices.clear()

    def choose(
        self, back_end: BackEnd, minimum: int, core: CoreInterface
    ) -> SnapshotChoice | None:
        """
        Return a snapshot, at least the minimum, that every shard should have.

        None if no shard map covers the minimum.
        """
        choice = self.choices.get(back_end.name)
        if choice is None:
            choice = self.find_common_choice(back_end, core)
            self.choices[back_end.name] = choice
        if choice.snapshot >= minimum:
            return choice
        shard_map = back_end.map_at(minimum)
        if shard_map is None:
            return None
        return SnapshotChoice(minimum, shard_map)

    def find_common_choice(self, back_end: BackEnd, core: CoreInterface) -> SnapshotChoice:
        """Return the newest snapshot that all shards of its map can serve."""
        for first_snapshot, shard_map in back_end.shard_maps:
            common = self.find_newest_common(back_end, shard_map, core)
            if common >= first_snapshot:
                return SnapshotChoice(common, shard_map)
        oldest_first, oldest_map = back_end.shard_maps[-1]
        return SnapshotChoice(oldest_first, oldest_map)

    def find_newest_common(
        self, back_end: BackEnd, shard_map: ShardMap, core: CoreInterface
    ) -> int:
        """
        Return the newest snapshot that every shard can serve; 0 if no replica reported one.

        Replicas that lag by at most `MAX_LAG_SNAPSHOTS` hold the result back, so that they can be
        chosen too.
        """
        reported = []
        reachable = None
        for name in sorted({shard.service for shard in shard_map.shards}):
            newest = 0
            for replica in back_end.services[name].replicas:
                state = core.upstreams.states.get(replica.replica_id)
                if state is None or state.is_draining or state.is_ejected:
                    continue
                newest = max(newest, state.newest_snapshot)
                reported.append(state.newest_snapshot)
            if newest == 0:
                continue
            reachable = newest if reachable is None else min(reachable, newest)
        if reachable is None:
            return 0
        near = [
            newest for newest in reported if reachable - MAX_LAG_SNAPSHOTS <= newest <= reachable
        ]
        return min(near, default=reachable)
