"""Steps of outside_fallback.feature."""

from __future__ import annotations

import random
import threading

from behave import given, then, when
from behave.runner import Context

from features import builders_forward as build
from features.builders_batch_platform import MemoryPlatform, MemoryStore
from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.platform_fallback import FallbackStore
from guavadyke.adapters.platform_relay import PlatformRelay
from guavadyke.adapters.write_confirmation import WriteConfirmingStore
from guavadyke.decisions.call_timeout import AdaptiveTimeout
from guavadyke.errors import PlatformUnavailableError

_KIND = 'jobs'
_HELPER = '10.0.0.2:7000'


class _CountedStore(MemoryStore):
    """Counts its calls, the refused ones too."""

    tries = 0

    def _called(self, call: str, kind: str) -> threading.Condition:
        self.tries += 1
        return super()._called(call, kind)


class _Client:
    """Calls the one other host without a network."""

    def __init__(self, helper: PlatformRelay) -> None:
        self._helper = helper
        self.cut = False

    def call(
        self,
        address: str,
        request: calls.PlatformCall,
    ) -> calls.PeerReply:
        assert address == _HELPER
        if self.cut:
            raise calls.PeerNotReachedError('cut off')
        return self._helper.answer(request)


@given('two hosts on one platform that help each other')
def step_hosts(context: Context) -> None:
    context.platform = MemoryPlatform()
    context.clock = build.ManualClock()
    context.direct = _CountedStore(context.platform)
    context.client = _Client(PlatformRelay(MemoryStore(context.platform)))
    context.store = FallbackStore(
        context.direct,
        context.client,
        lambda: [_HELPER],
        context.clock,
        random.Random(5),
    )
    context.unanswered = 0


@given("the first host's answers to writes are lost")
def step_lost(context: Context) -> None:
    context.direct.faults.lose_answer_every = 1


@given("the first host's path to the platform is cut")
def step_cut(context: Context) -> None:
    context.direct.faults.cut = True


@given('no other host is reached')
def step_alone(context: Context) -> None:
    context.client.cut = True


@given('calls that may take 1 second at the most')
def step_patience(context: Context) -> None:
    context.patience = AdaptiveTimeout(1)


@when('the first host creates a job object, settling its outcome')
def step_create(context: Context) -> None:
    store = WriteConfirmingStore(context.store, context.clock, random.Random(6))
    store.create(_KIND, 'job-1', b'body')


@when('the first host lists twice and then writes 5 objects over 10 seconds')
def step_write(context: Context) -> None:
    for _ in range(2):
        _list(context)
    for number in range(5):
        context.clock.sleep(2)
        _write(context, f'job-{number}')


@when('the path is mended and the first host lists and writes once more')
def step_mended(context: Context) -> None:
    context.direct.faults.clear_faults()
    _list(context)
    _write(context, 'last')


@when('the calls before {calls_before}')
def step_before(context: Context, calls_before: str) -> None:
    for one in calls_before.split(', '):
        if one == 'timed out':
            context.patience.timed_out()
        else:
            context.patience.answered(float(one.removeprefix('took ')))


@then('the object is there once')
def step_once(context: Context) -> None:
    assert [one.name for one in context.platform.of_kind(_KIND)] == ['job-1']


@then('all 5 objects are there')
def step_all(context: Context) -> None:
    assert len(context.platform.of_kind(_KIND)) == 5
    assert not context.unanswered


@then('every write says that the platform is away')
def step_away(context: Context) -> None:
    assert context.unanswered == 7, context.failed


@then('the first host itself has tried the platform once')
def step_tried_once(context: Context) -> None:
    assert context.direct.tries == 1, context.direct.tries


@then('the first host itself has tried the platform {count:d} times')
def step_tried(context: Context, count: int) -> None:
    assert context.direct.tries == count, context.direct.tries


@then('the first host itself has tried the platform at least {count:d} times')
def step_tried_least(context: Context, count: int) -> None:
    assert context.direct.tries >= count, context.direct.tries


@then('the next call may take {seconds:g} seconds')
def step_seconds(context: Context, seconds: float) -> None:
    found = context.patience.timeout_s
    assert round(found, 6) == seconds, found


def _list(context: Context) -> None:
    try:
        context.store.list_objects(_KIND)
    except PlatformUnavailableError:
        context.unanswered += 1


def _write(context: Context, name: str) -> None:
    try:
        context.store.create(_KIND, name, b'body')
    except PlatformUnavailableError:
        context.unanswered += 1
