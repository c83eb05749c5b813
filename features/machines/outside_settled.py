"""Settled writes against the real stand-in, compared with a dict.

Two writers share a platform whose answers and requests get lost; while
one of them settles a lost answer, the other may write.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from features import builders_outside as builders
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.errors import (
    ObjectConflictError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from guavadyke.standins.faults import PlatformFaults
from guavadyke.standins.platform import PlatformStandin

KIND = 'thing'
NAMES = st.sampled_from(('a', 'b/c'))
WRITERS = st.integers(0, 1)
LOSSES = st.integers(0, 3)


class HookedClock:
    """Runs a hook in place of the first wait."""

    def __init__(self) -> None:
        self.hook: Callable[[], None] | None = None

    def monotonic(self) -> float:
        return 0

    def wall(self) -> float:
        return 0

    def sleep(self, _seconds: float) -> None:
        hook = self.hook
        self.hook = None
        if hook is not None:
            hook()


def has_seen(machine: SettledWrites) -> bool:
    """Return whether a writer holds something that it can write over."""
    return bool(machine.seen)


class SettledWrites(RuleBasedStateMachine):
    """The dict holds the body of each object that has to be there."""

    platform: PlatformStandin

    def __init__(self) -> None:
        super().__init__()
        self.oracle: dict[str, bytes] = {}
        self.seen: dict[tuple[int, str], StoredObject] = {}
        self.bodies = 0
        self.clocks = [HookedClock(), HookedClock()]
        self.stores = [
            WriteConfirmingStore(
                builders.platform_store(self.platform, f'entry-{number}'),
                clock,
                random.Random(number),
            )
            for number, clock in enumerate(self.clocks)
        ]

    @initialize()
    def empty(self) -> None:
        self.platform.faults = PlatformFaults()
        store = self.stores[0]
        for stored in store.list_objects(KIND).objects:
            store.delete(stored)

    @rule(answers=LOSSES, requests=LOSSES)
    def lose(self, answers: int, requests: int) -> None:
        self.platform.faults = PlatformFaults(
            lost_answers_next=answers,
            lost_requests_next=requests,
        )

    @rule(writer=WRITERS, name=NAMES)
    def look(self, writer: int, name: str) -> None:
        stored = self.stores[writer].read(KIND, name)
        assert (stored is not None) == (name in self.oracle)
        if stored is not None:
            assert stored.body == self.oracle[name]
            self.seen[writer, name] = stored

    @rule(writer=WRITERS, name=NAMES)
    def create(self, writer: int, name: str) -> None:
        body = self.body()
        try:
            stored = self.stores[writer].create(KIND, name, body)
        except ObjectConflictError:
            assert name in self.oracle
        else:
            assert name not in self.oracle
            self.took(writer, stored, body)

    @precondition(has_seen)
    @rule(writer=WRITERS, name=NAMES)
    def update(self, writer: int, name: str) -> None:
        self.write(writer, name)

    @precondition(has_seen)
    @rule(writer=WRITERS, name=NAMES, raced=st.integers(1, 12))
    def update_raced(self, writer: int, name: str, raced: int) -> None:
        """Lose the answer; the other writes before it is settled."""
        if (writer, name) not in self.seen:
            return
        self.platform.faults = PlatformFaults(lost_answers_next=1)
        self.clocks[writer].hook = lambda: self.follow(1 - writer, name, raced)
        try:
            self.write(writer, name)
        finally:
            self.clocks[writer].hook = None

    @precondition(has_seen)
    @rule(writer=WRITERS, name=NAMES)
    def delete(self, writer: int, name: str) -> None:
        stored = self.seen.pop((writer, name), None)
        if stored is None:
            return
        try:
            self.stores[writer].delete(stored)
        except ObjectConflictError:
            assert self.oracle.get(name) != stored.body
        else:
            assert self.oracle.pop(name, stored.body) == stored.body

    @invariant()
    def nothing_lost(self) -> None:
        listed = self.stores[0].list_objects(KIND).objects
        assert {one.name: one.body for one in listed} == self.oracle

    def write(self, writer: int, name: str) -> None:
        """Update from what the writer has seen, if it has."""
        previous = self.seen.pop((writer, name), None)
        if previous is None:
            return
        body = self.body()
        raced = self.clocks[writer].hook is not None
        current = self.oracle.get(name) == previous.body
        try:
            stored = self.stores[writer].update(previous, body)
        except ObjectConflictError:
            assert not current
        except PlatformOutcomeUnknownError:
            assert raced
        else:
            assert current
            followed = raced and self.clocks[writer].hook is None
            if followed:
                self.cannot_undo(writer, stored)
            else:
                self.took(writer, stored, body)

    def follow(self, writer: int, name: str, count: int) -> None:
        """Write over whatever is there, as another writer does."""
        for _ in range(count):
            stored = self.stores[writer].read(KIND, name)
            if stored is None:
                return
            body = self.body()
            self.stores[writer].update(stored, body)
            self.oracle[name] = body

    def cannot_undo(self, writer: int, stored: StoredObject) -> None:
        """A writer that was followed must not win with what it holds."""
        try:
            self.stores[writer].update(stored, b'undone')
        except (ObjectConflictError, PlatformUnavailableError):
            return
        raise AssertionError('an acknowledged write was undone')

    def took(self, writer: int, stored: StoredObject, body: bytes) -> None:
        assert stored.body == body
        self.oracle[stored.name] = body
        self.seen[writer, stored.name] = stored

    def body(self) -> bytes:
        self.bodies += 1
        return b'body-%d' % self.bodies


def run() -> int:
    """Run the machine and return how many calls the platform took."""
    standin = PlatformStandin(ip=builders.LOOPBACK)
    standin.start()
    SettledWrites.platform = standin
    try:
        run_state_machine_as_test(
            SettledWrites,
            settings=settings(
                derandomize=True,
                deadline=None,
                database=None,
                max_examples=40,
                stateful_step_count=25,
            ),
        )
        return sum(standin.counts.values())
    finally:
        standin.close()
