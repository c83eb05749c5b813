"""Steps of forward_mirrors.feature."""

from __future__ import annotations

import math
import random

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.ports import (
    ObjectEvent,
    StoredObject,
    WatchAnswer,
)
from guavadyke.controllers.mirror import (
    FIRST_RETRY_S,
    LONGEST_RETRY_S,
    Mirror,
    MirrorSettings,
    MirrorSink,
)
from guavadyke.errors import GuavadykeError
from guavadyke.log import EventLogger

_KIND = 'things'
_OUTAGE_S = 2.4
_BOUND_S = 3
_ROUNDS = 8


class _EventCollector(EventLogger):
    """Collects the names of logged events."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append(event)

    def warning(self, event: str, **fields: object) -> None:
        self.events.append(event)


class _Sink(MirrorSink):
    """Stores the mirrored objects and the ``after_outage`` flags of lists."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.lists: list[bool] = []

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        self.lists.append(after_outage)
        self.objects = {stored.name: stored.body for stored in objects}

    def put(self, stored: StoredObject) -> None:
        self.objects[stored.name] = stored.body

    def remove(self, name: str) -> None:
        self.objects.pop(name, None)


class _TimedStore(MemoryStore):
    """A store whose next watch takes some seconds of a manual clock."""

    clock = build.ManualClock()
    watch_takes_s: float = 0
    cut_after_watch = False

    def watch(self, kind: str, revision: int, wait_s: float) -> WatchAnswer:
        self.clock.sleep(self.watch_takes_s)
        self.faults.cut = self.faults.cut or self.cut_after_watch
        return super().watch(kind, revision, wait_s)


@given('a mirror {how} of a, b and c')
def step_mirror(context: Context, how: str) -> None:
    context.platform = MemoryPlatform()
    with context.platform.changed:
        for name in 'abc':
            context.platform.put(_KIND, name, b'old')
    context.link = _TimedStore(context.platform)
    context.link.faults.waits = False
    context.sink = _Sink()
    context.logger = _EventCollector()
    context.clock = build.ManualClock()
    context.link.clock = context.clock
    context.mirror = Mirror(
        MirrorSettings(
            _KIND,
            1,
            by_names=how == 'by names',
            outage_s=_OUTAGE_S if how == 'whose entries expire' else 0,
            bound_s=_BOUND_S if 'bound' in how else math.inf,
        ),
        context.link,
        context.sink,
        context.clock,
        random.Random(4),
        context.logger,
    )
    _advance(context)
    _advance(context)


@when(
    'the platform is unreachable while b is replaced, c removed and d written'
)
def step_changes_during_outage(context: Context) -> None:
    context.link.faults.cut = True
    _advance(context)
    with context.platform.changed:
        context.platform.put(_KIND, 'b', b'new')
        context.platform.remove(_KIND, 'c')
        context.platform.put(_KIND, 'd', b'new')
    _advance(context)
    context.link.faults.cut = False
    _advance(context)
    _advance(context)


@when('an older event of b arrives after the list')
def step_older(context: Context) -> None:
    with context.platform.changed:
        event = ObjectEvent('b', 1, StoredObject(_KIND, 'b', 1, b'older'))
        context.platform.events.append((_KIND, event))
        newest = ObjectEvent('x', 99, StoredObject(_KIND, 'x', 99, b'new'))
        context.platform.events.append((_KIND, newest))
        context.platform.revision = 99
    context.mirror.apply_event(event)
    _advance(context)


@when('the platform is briefly unreachable')
def step_brief_outage(context: Context) -> None:
    context.link.faults.cut = True
    _advance(context)
    context.link.faults.cut = False
    _advance(context)


@when('the platform is unreachable for {seconds:g} seconds')
def step_outage(context: Context, seconds: float) -> None:
    context.link.faults.cut = True
    _advance(context)
    context.clock.sleep(seconds)
    context.link.faults.cut = False
    _advance(context)


@when('{seconds:g} seconds pass until a watch is answered, {link}')
def step_watch_takes(context: Context, seconds: float, link: str) -> None:
    context.link.watch_takes_s = seconds
    context.link.cut_after_watch = link == 'and lists fail'
    _advance(context)
    context.link.watch_takes_s = 0
    if context.link.cut_after_watch:
        _advance(context)


@when('{seconds:g} seconds have passed in a watch')
def step_in_watch(context: Context, seconds: float) -> None:
    context.clock.sleep(seconds)


@when('the next step is taken')
def step_next(context: Context) -> None:
    context.lists_before = context.platform.calls[f'list {_KIND}']
    _advance(context)


@then('it was a list')
def step_was_list(context: Context) -> None:
    lists = context.platform.calls[f'list {_KIND}']
    assert lists == context.lists_before + 1, lists


@then('the mirror is {state}')
def step_stale(context: Context, state: str) -> None:
    assert context.mirror.stale is (state == 'stale')


@then('the second list was {after}')
def step_second_list(context: Context, after: str) -> None:
    assert context.sink.lists == [False, after == 'after an outage']


@then('the sink holds a, the new b and d')
def step_holds(context: Context) -> None:
    assert context.sink.objects == {'a': b'old', 'b': b'new', 'd': b'new'}


@then('only b and d were read')
def step_read(context: Context) -> None:
    assert context.platform.calls[f'read {_KIND}'] == len('bd')


@then('the sink still holds the newer b')
def step_newer(context: Context) -> None:
    assert context.sink.objects['b'] == b'old'


@then('the first list was not after an outage and the second was')
def step_lists(context: Context) -> None:
    assert context.sink.lists == [False, True]


@when('lists are answered through peers and each watch fails')
def step_no_watch(context: Context) -> None:
    context.link.faults.cut_watches = True
    context.delays = [_advance(context) for _ in range(2 * _ROUNDS)]


@when('a watch is answered and the next one fails')
def step_watched_again(context: Context) -> None:
    context.link.faults.cut_watches = False
    _advance(context)
    context.link.faults.cut_watches = True
    context.delays = [_advance(context)]


@then('the delays between lists grow to the maximum')
def step_delays_grow(context: Context) -> None:
    delays = [delay for delay in context.delays if delay]
    assert len(delays) == _ROUNDS, delays
    assert delays[0] <= FIRST_RETRY_S, delays
    assert min(delays[-2:]) >= LONGEST_RETRY_S / 2, delays


@then('the loss of the platform is logged once')
def step_loss_logged(context: Context) -> None:
    logged = [one for one in context.logger.events if one == 'platform_lost']
    assert len(logged) == 1, context.logger.events


@then('the mirror counts as connected')
def step_connected(context: Context) -> None:
    assert not context.mirror.failing


@then('the next delay is a short one')
def step_short(context: Context) -> None:
    assert 0 < context.delays[0] <= FIRST_RETRY_S, context.delays


def _advance(context: Context) -> float:
    """Run one step of the mirror; return the backoff in seconds."""
    try:
        context.mirror.step()
    except GuavadykeError as error:
        return context.mirror.record_failure(error)
    context.mirror.record_success()
    return 0
