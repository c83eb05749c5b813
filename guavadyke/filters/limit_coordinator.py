"""Grants hosts their shares of limits, under leases of limit shards."""

from __future__ import annotations

import collections
import dataclasses
import threading
import uuid

from guavadyke.adapters.ports import (
    Clock,
    LimitDemand,
    LimitGrant,
    PeerMessenger,
    StoredObject,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.limit_grants import GRANT_S, GrantTracker, HostDemand
from guavadyke.decisions.rendezvous_hashing import rendezvous
from guavadyke.decisions.shard_lease import (
    LEASE_KIND,
    SHARDS,
    LeaseStep,
    ShardLease,
    shard_of,
)
from guavadyke.errors import GuavadykeError, ObjectConflictError
from guavadyke.filters.limit_table import LimitTable
from guavadyke.guarded_threads import GuardedThread
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_LEASE_CHECK_INTERVAL_S = 0.25
_MIN_PAUSE_S = 0.02
_SHARD_IDLE_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True)
class SharingTools:
    """Dependencies of the sharing of limits among hosts."""

    settings: EntrySettings
    clock: Clock
    fleet: SnapshotCell[FleetSnapshot]
    store: WriteConfirmingStore
    messenger: PeerMessenger
    table: LimitTable


class LimitCoordinator:
    """Grants shares of the limits that this host coordinates.

    Limits are divided into shards. A host coordinates the limits of a
    shard while it holds the shard's lease, an object on the platform.

    Args:
        tools: platform storage, peers and the limits of this host.
    """

    def __init__(self, tools: SharingTools) -> None:
        self._tools = tools
        self._lock = threading.Lock()
        self._grant_trackers: dict[str, GrantTracker]
        self._grant_trackers = collections.defaultdict(GrantTracker)
        holder = f'{tools.settings.host_id}/{uuid.uuid4().hex}'
        self._leases = [ShardLease(holder) for _shard in range(SHARDS)]
        self._requested_at: dict[int, float] = {}
        self._lease_objects: dict[int, StoredObject | None] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._thread = GuardedThread(self._run, 'limit-leases', self._stopped)

    def start(self) -> None:
        """Start acquiring and renewing leases in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop renewing leases; they expire."""
        self._stopped.set()
        self._wake.set()

    def coordinator_of(self, limit_name: str) -> str:
        """Return the host that should coordinate a limit.

        Rendezvous hashing over this host and the live peers selects it.
        """
        own_id = self._tools.settings.host_id
        peers = self._tools.fleet.current.peers
        live = [peer.host_id for peer in peers if peer.state == 'alive']
        return rendezvous(f'limits/{shard_of(limit_name)}', [own_id, *live])

    def grants(
        self,
        host_id: str,
        demands: tuple[LimitDemand, ...],
    ) -> tuple[LimitGrant, ...]:
        """Return the grants for a host's demands.

        There is none for an unknown limit, or while this host does not hold
        the lease of the limit's shard.
        """
        now = self._tools.clock.monotonic()
        granted = (self._grant(host_id, demand, now) for demand in demands)
        return tuple(grant for grant in granted if grant is not None)

    def _grant(
        self,
        host_id: str,
        demand: LimitDemand,
        now: float,
    ) -> LimitGrant | None:
        spec = self._tools.table.spec(demand.limit_name)
        if spec is None:
            return None
        shard = shard_of(demand.limit_name)
        with self._lock:
            self._requested_at[shard] = now
            granting = self._leases[shard].held(now)
            share = self._grant_trackers[spec.name].grant_share(
                spec,
                HostDemand(host_id, demand.demand, demand.in_use),
                now,
                granting=granting,
            )
        if not granting:
            self._wake.set()
            return None
        return LimitGrant(spec.name, share, GRANT_S, demand.sequence)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(_LEASE_CHECK_INTERVAL_S)
            self._wake.clear()
            since = self._tools.clock.monotonic() - _SHARD_IDLE_AFTER_S
            for shard, requested_at in tuple(self._requested_at.items()):
                if requested_at >= since:
                    self._maintain_lease(shard)
            self._stopped.wait(_MIN_PAUSE_S)

    def _maintain_lease(self, shard: int) -> None:
        """Acquire or renew the lease of a shard if that is due."""
        lease = self._leases[shard]
        step = lease.next_step(self._tools.clock.monotonic())
        try:
            if step is LeaseStep.read:
                self._read_lease(shard, lease)
            elif step is LeaseStep.write:
                self._write_lease(shard, lease)
        except ObjectConflictError:
            lease.record_conflict()
        except GuavadykeError:
            # The platform is unavailable; without renewal the lease expires.
            return

    def _read_lease(self, shard: int, lease: ShardLease) -> None:
        now = self._tools.clock.monotonic()
        stored = self._tools.store.read(LEASE_KIND, str(shard))
        self._lease_objects[shard] = stored
        if stored is None:
            lease.record_read(0, '', now)
        else:
            lease.record_read(stored.version, stored.body.decode(), now)

    def _write_lease(self, shard: int, lease: ShardLease) -> None:
        began_at = self._tools.clock.monotonic()
        store = self._tools.store
        previous = self._lease_objects.get(shard)
        body = lease.host_id.encode()
        if previous is None:
            stored = store.create(LEASE_KIND, str(shard), body)
        else:
            stored = store.update(previous, body)
        self._lease_objects[shard] = stored
        with self._lock:
            lease.record_write(stored.version, began_at)
