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
from guavadyke.log import EventLogger

_KIND = 'jobs'
_HELPER = '10.0.0.2:7000'


class _CountedStore(MemoryStore):
    """Counts its calls, including those that fail."""

    call_count = 0

    def _called(self, call: str, kind: str) -> threading.Condition:
        self.call_count += 1
        return super()._called(call, kind)


class _PeerClient:
    """Calls the other host directly, without a network."""

    def __init__(self, helper: PlatformRelay) -> None:
        self._helper = helper
        self.cut = False

    def call(
        self,
        address: str,
        request: calls.PlatformCall,
        _timeout_s: float,
    ) -> calls.PeerReply:
        assert address == _HELPER
        if self.cut:
            raise calls.PeerNotReachedError('cut off')
        return self._helper.answer(request)


@given('two hosts on one platform that relay calls for each other')
def step_hosts(context: Context) -> None:
    context.platform = MemoryPlatform()
    context.clock = build.ManualClock()
    context.direct = _CountedStore(context.platform)
    context.client = _PeerClient(
        PlatformRelay(MemoryStore(context.platform), lambda: True)
    )
    context.store = FallbackStore(
        context.direct,
        context.client,
        lambda: [_HELPER],
        context.clock,
        random.Random(5),
        EventLogger(),
    )
    context.failed_calls = 0


@given("the first host's answers to writes are lost")
def step_answers_lost(context: Context) -> None:
    context.direct.faults.lose_answer_every = 1


@given('the first host cannot reach the platform')
def step_cut(context: Context) -> None:
    context.direct.faults.cut = True


@given('the first host cannot reach another host')
def step_no_peers(context: Context) -> None:
    context.client.cut = True


@given('calls with a timeout of at most 1 second')
def step_timeouts(context: Context) -> None:
    context.adaptive_timeout = AdaptiveTimeout(1)


@when('the first host creates a job object and confirms its outcome')
def step_create(context: Context) -> None:
    store = WriteConfirmingStore(context.store, context.clock, random.Random(6))
    store.create(_KIND, 'job-1', b'body')


@when('the first host lists twice and then writes 5 objects over 10 seconds')
def step_list_and_write(context: Context) -> None:
    for _ in range(2):
        _list(context)
    for number in range(5):
        context.clock.sleep(2)
        _write(context, f'job-{number}')


@when('the platform is reachable again and the first host lists and writes')
def step_reachable_again(context: Context) -> None:
    context.direct.faults.clear_faults()
    _list(context)
    _write(context, 'last')


@when('the previous calls {previous_calls}')
def step_previous_calls(context: Context, previous_calls: str) -> None:
    for previous_call in previous_calls.split(', '):
        if previous_call == 'timed out':
            context.adaptive_timeout.timed_out()
        else:
            context.adaptive_timeout.answered(
                float(previous_call.removeprefix('took '))
            )


@then('the object exists once')
def step_exists_once(context: Context) -> None:
    assert [
        stored_object.name for stored_object in context.platform.of_kind(_KIND)
    ] == ['job-1']


@then('all 5 objects exist')
def step_all_exist(context: Context) -> None:
    assert len(context.platform.of_kind(_KIND)) == 5
    assert not context.failed_calls


@then('every write fails because the platform is unavailable')
def step_unavailable(context: Context) -> None:
    assert context.failed_calls == 7, context.failed_calls


@then('the first host itself has called the platform once')
def step_called_once(context: Context) -> None:
    assert context.direct.call_count == 1, context.direct.call_count


@then('the first host itself has called the platform {count:d} times')
def step_call_count(context: Context, count: int) -> None:
    assert context.direct.call_count == count, context.direct.call_count


@then('the first host itself has called the platform at least {count:d} times')
def step_least_call_count(context: Context, count: int) -> None:
    assert context.direct.call_count >= count, context.direct.call_count


@then('the timeout of the next call is {seconds:g} seconds')
def step_timeout(context: Context, seconds: float) -> None:
    timeout_s = context.adaptive_timeout.timeout_s
    assert round(timeout_s, 6) == seconds, timeout_s


def _list(context: Context) -> None:
    try:
        context.store.list_objects(_KIND)
    except PlatformUnavailableError:
        context.failed_calls += 1


def _write(context: Context, name: str) -> None:
    try:
        context.store.create(_KIND, name, b'body')
    except PlatformUnavailableError:
        context.failed_calls += 1
