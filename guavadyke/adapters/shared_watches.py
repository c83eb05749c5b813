"""Watches of the platform that a few hosts make for all of a zone."""

from __future__ import annotations

import collections
import itertools
import threading
import time
from collections.abc import Callable, Iterable

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerChannels
from guavadyke.adapters.ports import Clock, WatchAnswer
from guavadyke.decisions.change_log import ChangeLog
from guavadyke.errors import (
    ErrorCode,
    GuavadykeError,
    PlatformUnavailableError,
)
from guavadyke.log import EventLogger

# Bounds the time after which a host that asks notices that its source is
# frozen or cut off.
_MAX_PEER_WAIT_S = 1.5
# A source that did not answer is asked last for this time.
_FAILED_SOURCE_S = 5.0
# Length of a direct watch of a host that finds no source; then it asks the
# sources again.
_SUBSTITUTE_WAIT_S = 2.0


class WatchHub:
    """Passes the answers of this host's watches on to hosts that ask.

    Thread-safe.

    Args:
        margin_s: seconds by which the next answer of a watch may be late;
            after that this host no longer knows whether something changed.
        clock: dates the answers; time for which the machine is suspended
            counts.
    """

    def __init__(self, margin_s: float, clock: Clock) -> None:
        self._margin_s = margin_s
        self._clock = clock
        self._valid_until: dict[str, float] = {}
        self._changed = threading.Condition()
        self._logs: dict[str, ChangeLog] = collections.defaultdict(ChangeLog)

    def now(self) -> float:
        """Return the time in seconds by which answers are dated."""
        return self._clock.monotonic()

    def record(
        self, query: calls.WatchQuery, answer: WatchAnswer, asked_at: float
    ) -> None:
        """Add the answer to a direct watch; the next one has to follow.

        A host that was suspended reads an answer long after it was sent, so
        an answer counts for no later than the end of the wait.

        Args:
            query: the watch.
            answer: its answer.
            asked_at: time of ``now`` at which the watch began.
        """
        answered_at = min(self.now(), asked_at + query.wait_s)
        with self._changed:
            self._logs[query.kind].record(query.revision, answer)
            self._valid_until[query.kind] = (
                answered_at + query.wait_s + self._margin_s
            )
            self._changed.notify_all()

    def suspend(self, kind: str) -> None:
        """Answer no more queries on a kind until the next direct watch."""
        with self._changed:
            if self._logs[kind].current:
                self._logs[kind].suspend()
                self._changed.notify_all()

    def answer(self, query: calls.WatchQuery) -> calls.PeerReply:
        """Wait for changes of a kind; the answer may be empty or an error.

        Changes that this host learned before it lost the platform or was
        suspended are not passed on: who gets them would take them for the
        present state.
        """
        until = time.monotonic() + min(query.wait_s, _MAX_PEER_WAIT_S)
        with self._changed:
            log = self._logs[query.kind]
            found = log.changes_after(query.revision)
            while found is None and self._knows(query.kind):
                left_s = until - time.monotonic()
                if left_s <= 0 or not self._changed.wait(left_s):
                    break
                found = log.changes_after(query.revision)
            if not self._knows(query.kind):
                found = None
            elif found is None:
                found = WatchAnswer(query.revision, ())
        if found is None:
            return calls.PeerReply(
                error=calls.RemoteError(
                    ErrorCode.platform_unavailable,
                    f'{query.kind} is not watched here',
                ),
            )
        return calls.PeerReply(
            platform=calls.PlatformReply(
                revision=found.revision,
                events=found.events,
                expired=found.expired,
            ),
        )

    def _knows(self, kind: str) -> bool:
        """Return whether this host would know of a change by now."""
        valid_until = self._valid_until.get(kind, 0)
        return self._logs[kind].current and self.now() <= valid_until


class PeerWatches:
    """Asks other hosts for changes, over a connection per kind.

    Args:
        channels: connections to peers.
        logger: logs which host answers, whenever that changes.
    """

    def __init__(self, channels: PeerChannels, logger: EventLogger) -> None:
        self._channels = channels
        self._logger = logger
        self._source_by_kind: dict[str, str] = {}
        self._failed_at: dict[str, float] = {}

    def watch(
        self, query: calls.WatchQuery, addresses: Iterable[str]
    ) -> WatchAnswer | None:
        """Ask hosts one after the other; return None if none can tell.

        Only the first one may wait for a change. An expired answer says that
        the platform has to be asked.
        """
        asked_at = time.monotonic()
        waits = itertools.chain((query.wait_s,), itertools.repeat(0))
        ordered = sorted(
            addresses, key=lambda address: self._has_failed(address, asked_at)
        )
        answers = (
            (address, self._ask(address, query.with_wait(wait_s)))
            for address, wait_s in zip(ordered, waits, strict=False)
        )
        source, answer = next(
            (found for found in answers if found[1] is not None), ('', None)
        )
        if source != self._source_by_kind.get(query.kind, ''):
            self._source_by_kind[query.kind] = source
            self._logger.info(
                'watch_source_changed',
                kind=query.kind,
                source=source,
                took_s=round(time.monotonic() - asked_at, 3),
            )
        return answer

    def _ask(self, address: str, query: calls.WatchQuery) -> WatchAnswer | None:
        wait_s = min(query.wait_s, _MAX_PEER_WAIT_S)
        try:
            reply = self._channels.call(address, query.kind, query, wait_s)
        except (calls.PeerNotReachedError, calls.PeerAnswerLostError):
            self._failed_at[address] = time.monotonic()
            return None
        if reply.error is not None:
            self._failed_at[address] = time.monotonic()
            return None
        self._failed_at.pop(address, None)
        platform = reply.platform
        return WatchAnswer(
            max(query.revision, platform.revision),
            platform.events,
            expired=platform.expired,
        )

    def _has_failed(self, address: str, now: float) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at < _FAILED_SOURCE_S


class SharedWatches:
    """Watches a kind directly or through hosts of the same zone.

    Args:
        hub: gets the answers of direct watches.
        peers: asks other hosts.
        plan: returns for a kind whether this host watches it directly, and
            the addresses of the hosts to ask.
    """

    def __init__(
        self,
        hub: WatchHub,
        peers: PeerWatches,
        plan: Callable[[str], tuple[bool, tuple[str, ...]]],
    ) -> None:
        self._hub = hub
        self._peers = peers
        self._plan = plan

    def watch(
        self,
        query: calls.WatchQuery,
        direct: Callable[[calls.WatchQuery], WatchAnswer],
        *,
        probe: bool,
    ) -> WatchAnswer:
        """Wait for changes after a revision.

        Args:
            query: what is watched, and for how long.
            direct: watches the platform directly.
            probe: whether the last direct call failed, so that a short
                direct watch has to find out if the platform is back.

        Raises:
            PlatformUnavailableError: neither the platform nor a host that
                watches it can be reached.
        """
        watches, addresses = self._plan(query.kind)
        if probe:
            return self._probe(query, direct, addresses)
        if watches:
            return self._watch_directly(query, direct, addresses)
        self._hub.suspend(query.kind)
        answer = self._peers.watch(query, addresses)
        if answer is None:
            return direct(query.with_wait(_SUBSTITUTE_WAIT_S))
        if answer.expired:
            # The platform may still know what the source has dropped.
            return direct(query.with_wait(0))
        return answer

    def _watch_directly(
        self,
        query: calls.WatchQuery,
        direct: Callable[[calls.WatchQuery], WatchAnswer],
        addresses: tuple[str, ...],
    ) -> WatchAnswer:
        asked_at = self._hub.now()
        try:
            answer = direct(query)
        except GuavadykeError:
            self._hub.suspend(query.kind)
            # The direct watch has used up the time of a wait for changes.
            through_peer = self._peers.watch(query.with_wait(0), addresses)
            if through_peer is None or through_peer.expired:
                raise
            return through_peer
        self._hub.record(query, answer, asked_at)
        return answer

    def _probe(
        self,
        query: calls.WatchQuery,
        direct: Callable[[calls.WatchQuery], WatchAnswer],
        addresses: tuple[str, ...],
    ) -> WatchAnswer:
        self._hub.suspend(query.kind)
        try:
            return direct(query.with_wait(0))
        except PlatformUnavailableError:
            answer = self._peers.watch(query, addresses)
            if answer is None or answer.expired:
                raise
            return answer
