"""Coordinator of limits: holds leases of shards and grants shares."""

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
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import FleetSnapshot, SnapshotCell

_LEASE_LOOK_S = 0.25
_LEAST_SPACING_S = 0.02
_ASKED_KEPT_S = 10.0


@dataclasses.dataclass(frozen=True)
class SharingTools:
    """What the sharing of limits needs."""

    settings: EntrySettings
    clock: Clock
    fleet: SnapshotCell[FleetSnapshot]
    store: WriteConfirmingStore
    messenger: PeerMessenger
    table: LimitTable


class LimitCoordinator:
    """Grants shares of the limits whose shards' leases this host holds.

    Args:
        tools: platform, peers and the limits of this host.
    """

    def __init__(self, tools: SharingTools) -> None:
        self._tools = tools
        self._lock = threading.Lock()
        self._ledgers: dict[str, GrantTracker]
        self._ledgers = collections.defaultdict(GrantTracker)
        holder = f'{tools.settings.host_id}/{uuid.uuid4().hex}'
        self._leases = [ShardLease(holder) for _shard in range(SHARDS)]
        self._asked_at: dict[int, float] = {}
        self._stored: dict[int, StoredObject | None] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='limit-leases',
            daemon=True,
        )

    def start(self) -> None:
        """Keep leases in the background."""
        self._thread.start()

    def close(self) -> None:
        """Let the leases lapse."""
        self._stopped.set()
        self._wake.set()

    def host_of(self, limit_name: str) -> str:
        """Return the host that ought to coordinate a limit."""
        own = self._tools.settings.host_id
        peers = self._tools.fleet.current.peers
        live = [peer.host_id for peer in peers if peer.state == 'alive']
        return rendezvous(f'limits/{shard_of(limit_name)}', [own, *live])

    def grants(
        self,
        host_id: str,
        demands: tuple[LimitDemand, ...],
    ) -> tuple[LimitGrant, ...]:
        """Return what a host gets for its demands."""
        now = self._tools.clock.monotonic()
        granted = (self._grant(host_id, one, now) for one in demands)
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
            self._asked_at[shard] = now
            granting = self._leases[shard].held(now)
            share = self._ledgers[spec.name].ask(
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
            self._wake.wait(_LEASE_LOOK_S)
            self._wake.clear()
            since = self._tools.clock.monotonic() - _ASKED_KEPT_S
            for shard, asked_at in tuple(self._asked_at.items()):
                if asked_at >= since:
                    self._keep(shard)
            self._stopped.wait(_LEAST_SPACING_S)

    def _keep(self, shard: int) -> None:
        """Take or renew the lease of a shard where that is due."""
        lease = self._leases[shard]
        step = lease.next_step(self._tools.clock.monotonic())
        try:
            if step is LeaseStep.read:
                self._read(shard, lease)
            elif step is LeaseStep.write:
                self._write(shard, lease)
        except ObjectConflictError:
            lease.lost()
        except GuavadykeError:
            # The platform is away: the lease lapses unless it comes back.
            return

    def _read(self, shard: int, lease: ShardLease) -> None:
        now = self._tools.clock.monotonic()
        stored = self._tools.store.read(LEASE_KIND, str(shard))
        self._stored[shard] = stored
        if stored is None:
            lease.seen(0, '', now)
        else:
            lease.seen(stored.version, stored.body.decode(), now)

    def _write(self, shard: int, lease: ShardLease) -> None:
        began_at = self._tools.clock.monotonic()
        store = self._tools.store
        previous = self._stored.get(shard)
        body = lease.host_id.encode()
        if previous is None:
            stored = store.create(LEASE_KIND, str(shard), body)
        else:
            stored = store.update(previous, body)
        self._stored[shard] = stored
        with self._lock:
            lease.written(stored.version, began_at)
