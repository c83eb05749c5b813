"""Steps of forward_mirrors.feature."""

from __future__ import annotations

import random

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters.ports import ObjectEvent, StoredObject
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
_ROUNDS = 8


class _Told(EventLogger):
    """Keeps the names of the events."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        self.events.append(event)

    def warning(self, event: str, **fields: object) -> None:
        self.events.append(event)


class _Sink(MirrorSink):
    """Keeps what a mirror brings, and how its lists came."""

    def __init__(self) -> None:
        self.held: dict[str, bytes] = {}
        self.lists: list[bool] = []

    def replace(
        self,
        objects: tuple[StoredObject, ...],
        *,
        after_outage: bool,
    ) -> None:
        self.lists.append(after_outage)
        self.held = {one.name: one.body for one in objects}

    def put(self, stored: StoredObject) -> None:
        self.held[stored.name] = stored.body

    def remove(self, name: str) -> None:
        self.held.pop(name, None)


@given('a mirror {how} of a, b and c')
def step_mirror(context: Context, how: str) -> None:
    context.platform = MemoryPlatform()
    with context.platform.changed:
        for name in 'abc':
            context.platform.put(_KIND, name, b'old')
    context.link = MemoryStore(context.platform)
    context.link.faults.waits = False
    context.sink = _Sink()
    context.logger = _Told()
    context.mirror = Mirror(
        MirrorSettings(_KIND, 1, by_names=how == 'by names'),
        context.link,
        context.sink,
        build.ManualClock(),
        random.Random(4),
        context.logger,
    )
    _advance(context)
    _advance(context)


@when('the platform is away while b is replaced, c removed and d written')
def step_away(context: Context) -> None:
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


@when('an older event of b comes after its list')
def step_older(context: Context) -> None:
    with context.platform.changed:
        event = ObjectEvent('b', 1, StoredObject(_KIND, 'b', 1, b'older'))
        context.platform.events.append((_KIND, event))
        newest = ObjectEvent('x', 99, StoredObject(_KIND, 'x', 99, b'new'))
        context.platform.events.append((_KIND, newest))
        context.platform.revision = 99
    context.mirror.take(event)
    _advance(context)


@when('the platform is away for a moment')
def step_moment(context: Context) -> None:
    context.link.faults.cut = True
    _advance(context)
    context.link.faults.cut = False
    _advance(context)


@then('the sink holds a, the new b and d')
def step_holds(context: Context) -> None:
    assert context.sink.held == {'a': b'old', 'b': b'new', 'd': b'new'}


@then('only b and d were read')
def step_read(context: Context) -> None:
    assert context.platform.calls[f'read {_KIND}'] == len('bd')


@then('the sink still holds the newer b')
def step_newer(context: Context) -> None:
    assert context.sink.held['b'] == b'old'


@then('the first list was not after an outage and the second was')
def step_lists(context: Context) -> None:
    assert context.sink.lists == [False, True]


@when('lists are answered through others and each watch fails')
def step_no_watch(context: Context) -> None:
    context.link.faults.cut_watches = True
    context.pauses = [_advance(context) for _ in range(2 * _ROUNDS)]


@when('a watch is answered and the next one fails')
def step_watched_again(context: Context) -> None:
    context.link.faults.cut_watches = False
    _advance(context)
    context.link.faults.cut_watches = True
    context.pauses = [_advance(context)]


@then('the pauses between lists grow to their longest')
def step_pauses(context: Context) -> None:
    made = [pause for pause in context.pauses if pause]
    assert len(made) == _ROUNDS, made
    assert made[0] <= FIRST_RETRY_S, made
    assert min(made[-2:]) >= LONGEST_RETRY_S / 2, made


@then('the loss of the platform is told once')
def step_told(context: Context) -> None:
    told = [one for one in context.logger.events if one == 'platform_lost']
    assert len(told) == 1, context.logger.events


@then('the mirror counts as connected')
def step_connected(context: Context) -> None:
    assert not context.mirror.failing


@then('the next pause is a short one')
def step_short(context: Context) -> None:
    assert 0 < context.pauses[0] <= FIRST_RETRY_S, context.pauses


def _advance(context: Context) -> float:
    """Let the mirror make one call; returns its pause in seconds."""
    try:
        context.mirror.step()
    except GuavadykeError as error:
        return context.mirror.failed(error)
    context.mirror.reached()
    return 0
