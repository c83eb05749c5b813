"""Builders for batch tests: fake clock and runner, settings and hosts."""

from __future__ import annotations

import dataclasses
import io
import json
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from features.builders import entry_settings_document
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.clock import SystemClock
from guavadyke.adapters.ports import (
    Cancellation,
    Clock,
    ItemCall,
    ItemEnd,
    ItemResult,
    PlatformStore,
)
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.batch_service import BatchService
from guavadyke.catalogue import ModelEntry
from guavadyke.errors import ErrorCode, GuavadykeError
from guavadyke.filters.base import Answer, Exchange, Filter, Handler
from guavadyke.http_application import HttpApplication
from guavadyke.log import EventLogger
from guavadyke.settings import EntrySettings
from guavadyke.snapshots import (
    CatalogueSnapshot,
    FleetSnapshot,
    PeerView,
    SnapshotCell,
)

ENTRY = 'notes'
OWNER = 'pesebres'


class FakeClock:
    """A clock that the test sets; a sleep advances it by ``sleep_s``."""

    sleep_s = 0.1

    def __init__(self, now: float = 1000) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1_800_000_000 + self.now

    def sleep(self, seconds: float) -> None:
        self.now += self.sleep_s


@dataclasses.dataclass(frozen=True)
class RunRecord:
    """One run of an item, as a backend server would see it."""

    custom_id: str
    host_id: str
    started_at: float
    idempotent: bool


@dataclasses.dataclass
class RunHistory:
    """Runs of items on all hosts, in the order of their starts."""

    runs: list[RunRecord] = dataclasses.field(default_factory=list)

    def runs_of(self, custom_id: str) -> list[RunRecord]:
        return [run for run in self.runs if run.custom_id == custom_id]


Script = Callable[[ItemCall, int], ItemResult]


def complete_item(call: ItemCall, run: int) -> ItemResult:
    """Complete the item with its text as the response."""
    document = json.loads(call.body)
    return ItemResult(ItemEnd.completed, {'echo': document.get('text')})


@dataclasses.dataclass
class Scripts:
    """Script for items by their custom id.

    ``preempted`` and ``not_run`` give the number of runs that end so before
    the item completes. A run of one of ``engine_killers`` ends all other
    runs on the same host.
    """

    always_retry: set[str] = dataclasses.field(default_factory=set)
    rejected: set[str] = dataclasses.field(default_factory=set)
    preempted: dict[str, int] = dataclasses.field(default_factory=dict)
    not_run: dict[str, int] = dataclasses.field(default_factory=dict)
    engine_killers: set[str] = dataclasses.field(default_factory=set)

    def __call__(self, call: ItemCall, run: int) -> ItemResult:
        item = json.loads(call.body)['text']
        if item in self.always_retry:
            return ItemResult(ItemEnd.retry, reason='its engine broke off')
        if item in self.rejected:
            return ItemResult(ItemEnd.rejected, reason='it is not allowed')
        if run <= self.preempted.get(item, 0):
            return ItemResult(ItemEnd.preempted, partial='begun')
        if run <= self.not_run.get(item, 0):
            return ItemResult(ItemEnd.not_run)
        return complete_item(call, run)


class FakeRunner:
    """Runs items by a script; a run takes ``delay_s``.

    While ``dead``, items are reported as not run and are not recorded.
    """

    def __init__(
        self,
        history: RunHistory,
        host_id: str,
        script: Script = complete_item,
        delay_s: float = 0,
        slots: int = 8,
    ) -> None:
        self.history = history
        self.host_id = host_id
        self.script = script
        self.delay_s = delay_s
        self.slots = slots
        self.dead = False
        self.running = 0
        self.engine_ended_at: float = 0

    def run(self, call: ItemCall, cancellation: Cancellation) -> ItemResult:
        if self.dead:
            return ItemResult(ItemEnd.not_run)
        custom_id = json.loads(call.body)['text']
        self.history.runs.append(
            RunRecord(
                custom_id,
                self.host_id,
                time.monotonic(),
                call.idempotent,
            ),
        )
        runs = len(self.history.runs_of(custom_id))
        self.running += 1
        try:
            return self._run(call, runs, cancellation)
        finally:
            self.running -= 1

    def capacity(self, entry_name: str) -> int:
        return self.slots - self.running

    def _run(
        self,
        call: ItemCall,
        runs: int,
        cancellation: Cancellation,
    ) -> ItemResult:
        began_at = time.monotonic()
        while time.monotonic() < began_at + self.delay_s:
            if cancellation.is_set():
                return ItemResult(ItemEnd.cancelled)
            time.sleep(0.005)
        killers = getattr(self.script, 'engine_killers', ())
        if json.loads(call.body)['text'] in killers:
            self.engine_ended_at = time.monotonic()
        if self.engine_ended_at >= began_at:
            return ItemResult(ItemEnd.retry, reason='its engine ended')
        return self.script(call, runs)


class TrustingAuthenticator(Filter):
    """Uses the bearer key as the owner's name, without any check."""

    def apply(self, exchange: Exchange, following: Handler) -> Answer:
        key = exchange.headers.get('authorization', '')
        if not key.startswith('Bearer '):
            raise GuavadykeError(ErrorCode.unauthenticated, 'no key')
        exchange.owner = key.removeprefix('Bearer ')
        return following(exchange)


def catalogue() -> SnapshotCell[CatalogueSnapshot]:
    """Return a catalogue with a batch entry and an online entry."""
    entry = ModelEntry(owner=OWNER, model='m')
    online = ModelEntry.model_validate(
        {'owner': OWNER, 'model': 'm', 'class': 'online'},
    )
    return SnapshotCell(
        CatalogueSnapshot(entries={ENTRY: entry, 'desk': online}),
    )


def peers(*host_ids: str) -> FleetSnapshot:
    """Return a fleet of live entry hosts."""
    return FleetSnapshot(
        peers=tuple(
            PeerView(host_id, 'z', 'r', '127.0.0.1:1', 'alive', 1, 0)
            for host_id in host_ids
        ),
    )


@dataclasses.dataclass
class BatchHost:
    """An entry host that serves batch jobs only, without sockets."""

    service: BatchService
    link: Any
    runner: FakeRunner
    application: HttpApplication

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        owner: str = OWNER,
    ) -> tuple[int, bytes]:
        """Send one request to the host; return its status and body."""
        path, _mark, query = path.partition('?')
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'wsgi.input': io.BytesIO(body),
            'HTTP_AUTHORIZATION': f'Bearer {owner}',
            **{
                f'HTTP_{name.upper().replace("-", "_")}': text
                for name, text in (headers or {}).items()
            },
        }
        started: list[str] = []
        answer = self.application(
            environ,
            lambda status, _headers: started.append(status),
        )
        return int(started[0].split()[0]), b''.join(answer)

    def document(self, method: str, path: str) -> dict[str, object]:
        """Send one request to the host; return the JSON document."""
        return dict(json.loads(self.call(method, path)[1]))


@dataclasses.dataclass
class HostPlan:
    """Options of a host in a test.

    ``delay_s`` is the time of an item's run; ``batch`` overrides settings.
    """

    host_id: str = 'entry-1'
    history: RunHistory = dataclasses.field(default_factory=RunHistory)
    script: Script = complete_item
    delay_s: float = 0
    slots: int = 8
    clock: Clock = dataclasses.field(default_factory=SystemClock)
    fleet: FleetSnapshot = dataclasses.field(default_factory=FleetSnapshot)
    batch: Mapping[str, object] = dataclasses.field(default_factory=dict)
    data_folder: str | None = None


def batch_settings(plan: HostPlan) -> EntrySettings:
    """Return settings of a host, with intervals short enough for tests."""
    quick: dict[str, object] = {
        'lease_s': 1.5,
        'lease_renewal_s': 0.3,
        'lease_margin_s': 0.4,
        'poll_interval_s': 0.1,
        'workers': 8,
    }
    document = {
        **entry_settings_document(),
        'host_id': plan.host_id,
        'batch': {**quick, **plan.batch},
        'data_folder': plan.data_folder,
    }
    return EntrySettings.model_validate(document)


def batch_host(platform: MemoryPlatform, plan: HostPlan) -> BatchHost:
    """Return a host on the platform, not started yet."""
    return host_with_link(MemoryStore(platform), plan)


def host_with_link(link: PlatformStore, plan: HostPlan) -> BatchHost:
    """Return a host that uses the given platform client, not started."""
    rng = random.Random(plan.host_id)
    runner = FakeRunner(
        plan.history,
        plan.host_id,
        plan.script,
        plan.delay_s,
        plan.slots,
    )
    logger = EventLogger(entry_host=plan.host_id)
    service = BatchService(
        settings=batch_settings(plan),
        clock=plan.clock,
        rng=rng,
        catalogue=catalogue(),
        fleet=SnapshotCell(plan.fleet),
        store=WriteConfirmingStore(link, plan.clock, rng),
        runner=runner,
        authenticate=TrustingAuthenticator(),
        logger=logger,
    )
    application = HttpApplication(service.routes(), plan.clock, logger)
    return BatchHost(service, link, runner, application)


def item_line(custom_id: str, **more: object) -> bytes:
    """Return one line of a submission."""
    document = {'custom_id': custom_id, 'body': {'text': custom_id}, **more}
    return json.dumps(document).encode()


def submission(count: int, first: int = 0, **more: object) -> bytes:
    """Return the body of a submission with ``count`` items."""
    numbers = range(first, first + count)
    return b'\n'.join(item_line(f'note-{one}', **more) for one in numbers)


def read_lines(body: bytes) -> list[dict[str, object]]:
    """Decode the documents of an NDJSON body."""
    return [json.loads(line) for line in body.splitlines() if line]


def wait_for(condition: Callable[[], bool], longest_s: float = 30) -> None:
    """Wait until the condition holds; fail after ``longest_s``."""
    until = time.monotonic() + longest_s
    while not condition():
        assert time.monotonic() < until, (
            f'the condition did not hold within {longest_s} s'
        )
        time.sleep(0.02)
