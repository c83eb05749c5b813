"""State machine: operators edit on hosts whose platform calls fail."""

from __future__ import annotations

import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from features import builders_fleet as fleets
from guavadyke.adapters.ports import StoredObject
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.catalogue import OwnerEntry
from guavadyke.catalogue_objects import (
    CATALOGUE_KIND,
    CatalogueObject,
    ChangeRecord,
    decode_document,
)
from guavadyke.controllers.catalogue import CatalogueState, OfferedObjects
from guavadyke.controllers.catalogue_edits import (
    CatalogueEdit,
    CatalogueEditor,
    EditAuthor,
    EditCondition,
)
from guavadyke.controllers.catalogue_snapshot import build_snapshot
from guavadyke.controllers.catalogue_watch import CatalogueWatch
from guavadyke.decisions.object_versions import VersionedObjects
from guavadyke.errors import (
    GuavadykeError,
    ObjectConflictError,
    PlatformOutcomeUnknownError,
)
from guavadyke.log import EventLogger
from guavadyke.settings import PlatformSettings
from guavadyke.snapshots import SnapshotCell

_HOSTS = 2
_NAMES = ('lammikko',)

hosts = st.integers(0, _HOSTS - 1)
names = st.sampled_from(_NAMES)


class StepClock:
    """A clock that advances only when it is set or slept on."""

    def __init__(self) -> None:
        self.now: float = 0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class Host:
    """The catalogue of one host, without threads."""

    def __init__(self, platform: fleets.MemoryPlatform, number: int) -> None:
        self.clock = StepClock()
        self.link = fleets.MemoryLink(platform)
        store = WriteConfirmingStore(
            self.link, self.clock, random.Random(number)
        )
        self.state = SnapshotCell(CatalogueState())
        self.versioned = VersionedObjects()
        self.editor = CatalogueEditor(
            store,
            self.state,
            self.offer,
            self.clock,
        )
        self.watch = CatalogueWatch(
            PlatformSettings(url='http://127.0.0.1:1', watch_wait_s=0.001),
            store,
            self.offer,
            self.clock,
            random.Random(number),
            EventLogger(),
        )

    def offer(self, message: object) -> None:
        if not isinstance(message, OfferedObjects):
            return
        for one in message.objects:
            self.versioned.store_if_newer(one)
        objects = dict(self.versioned.objects)
        self.state.publish(
            CatalogueState(
                snapshot=build_snapshot(objects, 1),
                mark=self.versioned.mark,
                digests=self.versioned.digests,
                objects=objects,
            ),
        )

    def versions(self) -> dict[str, int]:
        return {name: self.versioned.version(name) for name in _NAMES}

    def pull(self, other: Host) -> None:
        """Pull newer objects as hosts do: compare digests, then versions."""
        if not self.versioned.mark.behind(other.versioned.mark):
            return
        offered = other.versioned.differing(self.versioned.digests)
        wanted = self.versioned.newer_names(offered)
        self.offer(
            OfferedObjects(
                'peer', tuple(other.versioned.objects[name] for name in wanted)
            ),
        )


class CatalogueMachine(RuleBasedStateMachine):
    """Checks hosts and history against the accepted edits of each object."""

    @initialize()
    def begin(self) -> None:
        self.platform = fleets.MemoryPlatform()
        self.hosts = [Host(self.platform, number) for number in range(_HOSTS)]
        self.accepted: dict[str, dict[int, str]] = {name: {} for name in _NAMES}
        self.current_versions = dict.fromkeys(_NAMES, 0)
        self.highest = [host.versions() for host in self.hosts]
        self.edits = 0
        self.states: list[dict[tuple[str, str], StoredObject]] = [{}]

    @rule(number=hosts, name=names, racing=st.booleans(), delete=st.booleans())
    def edit(
        self,
        number: int,
        name: str,
        racing: bool,
        delete: bool,
    ) -> None:
        """Edit at the version in force, possibly after a concurrent edit."""
        host = self.hosts[number]
        stored = host.versioned.objects.get(name)
        current = (
            0 if stored is None or stored.entry is None else stored.version
        )
        if racing:
            other = self.hosts[(number + 1) % _HOSTS]
            self._apply(other, name, EditCondition(), delete=False)
        if delete and not current:
            return
        self._apply(host, name, EditCondition(version=current), delete=delete)

    @rule(number=hosts, away=st.booleans(), lost_answers=st.integers(0, 3))
    def disturb(self, number: int, away: bool, lost_answers: int) -> None:
        link = self.hosts[number].link
        link.unreachable = away
        link.lost_answers = lost_answers

    @rule(
        number=hosts,
        seconds=st.sampled_from((0, 100)),
        silent=st.booleans(),
        behind=st.integers(0, 2),
    )
    def follow(
        self,
        number: int,
        seconds: int,
        silent: bool,
        behind: int,
    ) -> None:
        """Run one list or watch, possibly with stale reads or no events."""
        host = self.hosts[number]
        host.clock.now += seconds
        host.link.silent_watch = silent
        if behind:
            host.link.stale_objects = self.states[
                -min(behind, len(self.states))
            ]
        self._step_watch(host)
        host.link.stale_objects = None

    @rule(number=hosts, other=hosts)
    def pull(self, number: int, other: int) -> None:
        self.hosts[number].pull(self.hosts[other])

    @rule(number=hosts, from_disk=st.booleans())
    def restart(self, number: int, from_disk: bool) -> None:
        """Restart with an empty catalogue or with the copy on disk."""
        old = self.hosts[number]
        self.hosts[number] = Host(self.platform, number)
        if from_disk:
            copies = tuple(old.versioned.objects.values())
            self.hosts[number].offer(OfferedObjects('disk', copies))
        else:
            self.highest[number] = dict.fromkeys(_NAMES, 0)

    @rule()
    def settle(self) -> None:
        """Without faults, every host gets the last accepted edits."""
        for host in self.hosts:
            host.link.unreachable = False
            host.link.lost_answers = 0
            host.link.silent_watch = False
            host.clock.now += 1000
            self._step_watch(host)
        for name in _NAMES:
            last = max(self.accepted[name], default=0)
            for host in self.hosts:
                assert host.versioned.version(name) == last, name

    @invariant()
    def versions_only_rise(self) -> None:
        for number, host in enumerate(self.hosts):
            versions = host.versions()
            for name in _NAMES:
                assert versions[name] >= self.highest[number][name], name
            self.highest[number] = versions

    @invariant()
    def every_accepted_edit_has_its_record(self) -> None:
        """The history holds exactly the accepted edits, each once."""
        for name in _NAMES:
            written = self._history(name)
            assert written == self.accepted[name], name

    def _step_watch(self, host: Host) -> None:
        try:
            host.watch.step()
        except GuavadykeError:
            return

    def _apply(
        self,
        host: Host,
        name: str,
        condition: EditCondition,
        *,
        delete: bool,
    ) -> None:
        self.edits += 1
        self.states.append(dict(self.platform.objects))
        current = self.current_versions[name]
        why = f'edit {self.edits}'
        entry = None if delete else OwnerEntry()
        edit = CatalogueEdit(
            name, entry, condition, EditAuthor('ada', why, 'host')
        )
        try:
            written = host.editor.apply(edit)
        except PlatformOutcomeUnknownError:
            self._resolve_unknown(name, why)
        except (ObjectConflictError, GuavadykeError):
            # The invariant checks that the history has no record of the edit.
            return
        else:
            assert condition.version in {None, current}, (
                'an edit at an outdated version was accepted'
            )
            self._accept(written, why)

    def _accept(self, written: CatalogueObject, why: str) -> None:
        accepted = self.accepted[written.name]
        assert written.version not in accepted, (
            'two accepted edits have the same version'
        )
        accepted[written.version] = why
        self.current_versions[written.name] = (
            written.version if written.entry else 0
        )

    def _resolve_unknown(self, name: str, why: str) -> None:
        """Accept an edit of unknown outcome if the history records it."""
        for record in self._records(name):
            if record.why == why:
                entry = None if record.after is None else OwnerEntry()
                self._accept(CatalogueObject(name, record.version, entry), why)

    def _history(self, name: str) -> dict[int, str]:
        return {record.version: record.why for record in self._records(name)}

    def _records(self, name: str) -> list[ChangeRecord]:
        return [
            record
            for (kind, stored_name), stored in self.platform.objects.items()
            if stored_name == name or stored_name.startswith(f'{name}/')
            for record in decode_document(_body(kind, stored.body)).history
        ]


def _body(kind: str, packed: bytes) -> bytes:
    """Return the body without its first line, which names the writers."""
    assert kind.startswith(CATALOGUE_KIND), kind
    return packed.partition(b'\n')[2]
