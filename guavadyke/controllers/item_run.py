"""Runs one batch item on one backend server."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import functools
import itertools
import types
from typing import TypeAlias

from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.ports import (
    BackendAnswer,
    BackendCall,
    BackendFault,
    BackendServerError,
    BackendServers,
    Clock,
)
from guavadyke.controllers.prompt_guard import GuardedRun, PromptGuard
from guavadyke.controllers.server_limits import ServerLimits
from guavadyke.controllers.server_pool import ServerPool
from guavadyke.decisions.forward_job_records import AcceptedJob, ForwardItem
from guavadyke.decisions.forward_routes import RouteTable
from guavadyke.decisions.partial_texts import PartialText
from guavadyke.decisions.request_headers import without_headers
from guavadyke.decisions.server_registry import ServerLease
from guavadyke.decisions.server_sent_events import EventOrderError, EventParser
from guavadyke.settings import ForwardSettings
from guavadyke.snapshots import SnapshotCell

# A run without an event for this time is given up. It is longer than the time
# an item may wait for a slot at a server that has just been filled.
_STALLED_S = 12.0
# The body of an error that is longer is not read to its end.
_MAX_ERROR_BYTES = 1_048_576
_STATUS_OK = 200
_STATUS_REJECTED = 422
_STATUS_FAILED = 500
_HOST_KEYS = frozenset(('host',))

# Ids of a job and an item; items of two jobs may have the same id.
ItemKey: TypeAlias = tuple[str, str]


class RunEnd(enum.Enum):
    """How a run ended.

    ``failed``: the server answered 500, which counts as an attempt.
    ``rejected``: the server answered 422; the item can never succeed.
    ``broken``: the call broke off and the item may be resumed elsewhere.
    ``not_run``: the call failed and the item was certainly not started.
    ``preempted``: this host cancelled the run.
    """

    completed = 'completed'
    failed = 'failed'
    rejected = 'rejected'
    broken = 'broken'
    not_run = 'not_run'
    preempted = 'preempted'


@dataclasses.dataclass(frozen=True)
class RunOutcome:
    """How a run ended, with the events of the item received so far.

    ``resumed_at`` is the last of them that an earlier run had received.
    """

    end: RunEnd
    partial: PartialText = dataclasses.field(default_factory=PartialText)
    reason: str = ''
    resumed_at: int = 0


@dataclasses.dataclass(frozen=True)
class ItemRunTools:
    """What all runs of a host share.

    A run releases its slot to ``pool``, tells ``prompts`` whether its server
    has ended, and asks ``limits`` whether its server takes it; ``clock``
    dates its last event; ``table`` tells whether there are teams.
    """

    pool: ServerPool
    prompts: PromptGuard
    limits: ServerLimits
    clock: Clock
    table: SnapshotCell[RouteTable]


class ItemRun:
    """Runs an item, resuming after the last event of earlier runs.

    At a server of another software version it begins anew.

    Args:
        job: the item's job.
        item: the item.
        lease: the slot at a server; released when the run ends.
        partial: the events received in earlier runs.
        tools: what all runs share.
    """

    def __init__(
        self,
        job: AcceptedJob,
        item: ForwardItem,
        lease: ServerLease,
        partial: PartialText,
        tools: ItemRunTools,
    ) -> None:
        self.cancellation = CallCancellation()
        self.lease = lease
        self.item = item
        self.job_id = job.job_id
        self._host = job.host
        self._team = job.team
        self._software = lease.server.software
        if partial.software != self._software:
            partial = PartialText()
        self._partial = partial
        if lease.placed is not None:
            lease.placed.resumed = partial.last_id > 0
        self._pieces = list(partial.pieces)
        self._event_parser = EventParser(partial.last_id)
        self._tools = tools
        self.suspect_parts = job.suspect_parts(item)
        self._guarded = GuardedRun(
            tools.prompts, self.suspect_parts, tools.clock
        )
        self._progress_at = lease.taken_at
        self._heard_at = lease.taken_at
        self._stalled = False
        self._left_silent = False

    def stop_if_stalled(self, now: float) -> None:
        """Cancel the run if its server has sent no event for too long.

        Bytes that are no event do not count, however many arrive.
        """
        if now - self._progress_at > _STALLED_S:
            self._stalled = True
            self.cancellation.cancel()

    @property
    def key(self) -> ItemKey:
        """Ids of its job and its item."""
        return (self.job_id, self.item.item_id)

    @property
    def resumes_at(self) -> str | None:
        """The software version at which it can go on, None for any."""
        return self._software if self._event_parser.last_id else None

    def silent_s(self, now: float) -> float:
        """Return for how long its server has sent nothing."""
        return now - self._heard_at

    def leave_silent(self) -> None:
        """Cancel the run, so that the item goes on at another server."""
        self._left_silent = True
        self.cancellation.cancel()

    def perform(
        self,
        servers: BackendServers,
        settings: ForwardSettings,
    ) -> RunOutcome:
        """Run the item; blocks until it ends or is preempted.

        A server that takes no more requests now preempts it.
        """
        with contextlib.ExitStack() as unless_sent:
            unless_sent.callback(
                self._tools.pool.release, self.lease, BackendFault.refused
            )
            if not self._tools.limits.admit(self.lease.server, batch=True):
                self._tools.prompts.trials.not_run(self.lease)
                return self._outcome(RunEnd.preempted, 'limit of the server')
            unless_sent.pop_all()
        failure = None
        try:
            return self._send_and_read(servers, settings)
        except BackendServerError as error:
            failure = error
            return self._outcome(self._end_of_error(error), str(error))
        finally:
            self._end(failure)

    def _send_and_read(
        self,
        servers: BackendServers,
        settings: ForwardSettings,
    ) -> RunOutcome:
        answer = servers.send(self._backend_call(settings))
        self._record_data(0)
        if answer.status != _STATUS_OK:
            _drain(answer)
            return self._outcome(
                _END_OF_STATUS.get(answer.status, RunEnd.broken),
                f'status {answer.status}',
            )
        try:
            self._read_events(answer)
        except EventOrderError as error:
            answer.cancel()
            return self._outcome(RunEnd.broken, str(error))
        if self._event_parser.partial:
            raise BackendServerError(
                BackendFault.broken,
                'the stream ended within an event',
                not_run=False,
                disconnected=True,
            )
        if not self._event_parser.last_id:
            raise BackendServerError(
                BackendFault.broken,
                'the stream ended before its first event',
                not_run=False,
                disconnected=True,
            )
        self._guarded.completed()
        if self.lease.placed is not None:
            self.lease.placed.completed = True
        return self._outcome(RunEnd.completed)

    def _read_events(self, answer: BackendAnswer) -> None:
        events = itertools.chain.from_iterable(
            map(self._event_parser.feed, answer.chunks()),
        )
        for event in events:
            if event.event_id is not None:
                self._pieces.append(event.data)
                self._progress_at = self._tools.clock.monotonic()
                if self.lease.placed is not None:
                    self.lease.placed.record_event(self._progress_at)
                self._guarded.progressed()

    def _end(self, failure: BackendServerError | None) -> None:
        """Release the slot and record what the run says of its prompt.

        A run that this host has cancelled says nothing of its server, unless
        the server had stalled or fallen silent.
        """
        cancelled = self.cancellation.cancelled
        if failure is not None and failure.not_run:
            self._tools.prompts.trials.not_run(self.lease)
        self._tools.prompts.trials.runs.ended(self.lease)
        if failure is None or (cancelled and not self._is_server_fault):
            self._tools.pool.release(self.lease)
            return
        self._tools.pool.release(self.lease, failure.fault)
        if failure.disconnected and not cancelled:
            self._guarded.disconnected(self.lease.server.incarnation)

    @property
    def _is_server_fault(self) -> bool:
        """Whether the run was cancelled because of its server."""
        return self._stalled or self._left_silent

    def _record_data(self, _count: int) -> None:
        self._heard_at = self._tools.clock.monotonic()

    def _wait_longer_s(self) -> float:
        """Return for how long to wait on for the first byte of an answer."""
        return _STALLED_S - self.silent_s(self._tools.clock.monotonic())

    def _end_of_error(self, error: BackendServerError) -> RunEnd:
        if self._is_server_fault:
            return RunEnd.broken
        if self.cancellation.cancelled:
            return RunEnd.preempted
        return RunEnd.not_run if error.not_run else RunEnd.broken

    def _outcome(self, end: RunEnd, reason: str = '') -> RunOutcome:
        partial = PartialText(
            self._event_parser.last_id, tuple(self._pieces), self._software
        )
        return RunOutcome(end, partial, reason, self._partial.last_id)

    def _backend_call(self, settings: ForwardSettings) -> BackendCall:
        return BackendCall(
            request_id=self.item.item_id,
            address=self.lease.server.address,
            method='POST',
            path=self.item.path,
            headers={
                **without_headers(self.item.headers, _HOST_KEYS),
                'Host': self._host,
            },
            body=self.item.body,
            connect_timeout_s=settings.connect_timeout_s,
            first_byte_timeout_s=settings.item_silence_s,
            gap_timeout_s=_STALLED_S,
            cancellation=self.cancellation,
            server_id=self.lease.server.server_id,
            last_event_id=self._partial.last_id,
            observe_limit=self._tools.limits.observer(self.lease.server),
            observe_leaving=functools.partial(
                self._tools.pool.said_leaving, self.lease.server
            ),
            observe_data=self._record_data,
            wait_longer_s=self._wait_longer_s,
            team=self._team,
            # Items that were accepted by an older release or before there
            # were teams still have the headers of their caller.
            names_team=bool(self._tools.table.current.teams),
        )


def _drain(answer: BackendAnswer) -> None:
    """Read the body to its end so that the connection can be reused.

    A body that does not end is cut off.
    """
    sizes = itertools.accumulate(map(len, answer.chunks()))
    if any(size > _MAX_ERROR_BYTES for size in sizes):
        answer.cancel()


_END_OF_STATUS = types.MappingProxyType({
    _STATUS_FAILED: RunEnd.failed,
    _STATUS_REJECTED: RunEnd.rejected,
})
