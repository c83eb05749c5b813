"""Steps of outside_backend.feature: slots, cache, load, orders, services."""

from __future__ import annotations

import functools
import json
import operator
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features import builders_outside as builders
from features.steps.outside_backend_steps import (
    MAX_WAIT_S,
    STEP_S,
    request_completion,
    start_engine,
    wait_until,
)
from guavadyke.adapters.backend import HttpBackendServers
from guavadyke.adapters.cancellation import CallCancellation
from guavadyke.adapters.ports import BackendCall, BackendServerError
from guavadyke.standins.continuous_batching import ContinuousBatchSpec
from guavadyke.standins.engine import EngineSpec
from guavadyke.standins.faults import BackendFaults
from guavadyke.standins.order_executor import WeightSource
from guavadyke.standins.platform import PlatformStandin
from guavadyke.standins.service import ServiceStandin
from guavadyke.standins.weights import WeightStoreSpec

LONG_PROMPT = 'all the angels of all the schools ' * 200


def post_to_engine(
    context: Context, path: str, document: object
) -> tuple[int, bytes]:
    """Post JSON to the engine and return the status and body."""
    call = builders.backend_call(
        context.engine.address,
        json.dumps(document).encode(),
        path=path,
    )
    answer = context.servers.send(call)
    return answer.status, b''.join(answer.chunks())


@when('a {shape} completion of {tokens:d} tokens is cancelled')
def step_cancel(context: Context, shape: str, tokens: int) -> None:
    body = builders.chat_body(stream=shape == 'streamed', max_tokens=tokens)
    cancellation = CallCancellation()
    thread = threading.Thread(
        target=request_completion,
        args=(context, body),
        kwargs={'cancellation': cancellation},
    )
    thread.start()
    wait_until(lambda: context.engine.batch.running == 1)
    cancellation.cancel()
    thread.join(MAX_WAIT_S)
    assert not thread.is_alive()


@then('the engine has no request left')
def step_no_request(context: Context) -> None:
    wait_until(lambda: not context.engine.batch.running)
    assert context.engine.batch.waiting == 0


@then('the engine\'s history ends with "{outcome}"')
def step_history(context: Context, outcome: str) -> None:
    wait_until(
        lambda: context.engine.history.records()[-1]['outcome'] == outcome,
    )


@when(
    '{count:d} completions of {tokens:d} tokens are sent to the engine'
    ' one after another',
)
def step_queue(context: Context, count: int, tokens: int) -> None:
    threads = []
    for number in range(count):
        body = builders.chat_body(max_tokens=tokens * 4)
        call = builders.backend_call(
            context.engine.address,
            body,
            request_id=f'req-{number}',
        )
        threads.append(
            threading.Thread(
                target=context.servers.send,
                args=(call,),
            ),
        )
        threads[-1].start()
        wait_until(functools.partial(_has_received, context, number + 1))
    for thread in threads:
        thread.join(MAX_WAIT_S)


def _has_received(context: Context, count: int) -> bool:
    return len(context.engine.history.records()) >= count


@then('they end in the order in which they were sent')
def step_in_order(context: Context) -> None:
    records = context.engine.history.records()
    wait_until(
        lambda: all(
            record['outcome'] == 'completed'
            for record in context.engine.history.records()
        ),
    )
    records = context.engine.history.records()
    ended = sorted(records, key=operator.itemgetter('ended'))
    pairs = [
        {record['request_id'] for record in ended[first : first + 2]}
        for first in range(0, len(ended), 2)
    ]
    expected = [
        {f'req-{first}', f'req-{first + 1}'}
        for first in range(0, len(ended), 2)
    ]
    assert pairs == expected, pairs


@when('a long prompt is sent to the engine twice')
def step_long_prompt(context: Context) -> None:
    context.cached = []
    for _ in range(2):
        held = len(context.engine.cache.held)
        request_completion(context, _long_body())
        context.cached.append(held)


def _long_body() -> bytes:
    messages = ({'role': 'user', 'content': LONG_PROMPT},)
    return builders.chat_body(messages=messages, max_tokens=1)


@then('the second time its prefix is cached')
def step_cached(context: Context) -> None:
    assert context.cached[0] == 0
    assert context.cached[1] > 50
    assert len(context.engine.cache.held) == context.cached[1]


@then('its cache events report the cached blocks with a delay')
def step_events(context: Context) -> None:
    wait_until(lambda: bool(context.engine.cache.events(0)))
    events = context.engine.cache.events(0)
    held = set(context.engine.cache.held)
    assert {cache_event.block for cache_event in events} <= held
    assert len(events) <= len(held)
    sequences = [cache_event.sequence for cache_event in events]
    assert sequences == sorted(set(sequences))


@when("the engine's cache is exported to another engine")
def step_export(context: Context) -> None:
    _status, exported = post_to_engine(context, '/kv/export', {})
    start_engine(context, EngineSpec(batch=ContinuousBatchSpec(step_s=STEP_S)))
    status, _body = post_to_engine(context, '/kv/import', json.loads(exported))
    assert status == 200, status


@then('the prefix is cached there')
def step_imported(context: Context) -> None:
    before = context.engine.cache.held
    assert len(before) == context.cached[1]
    request_completion(context, _long_body())
    assert set(context.engine.cache.held) == set(before)


@given('an engine stand-in with a load lag of {lag:g} seconds')
def step_lag(context: Context, lag: float) -> None:
    context.lag = lag
    spec = EngineSpec(batch=ContinuousBatchSpec(step_s=STEP_S), load_lag_s=lag)
    start_engine(context, spec)


@when('a streamed completion runs on the engine')
def step_running(context: Context) -> None:
    context.first_load = context.servers.load(context.engine.address, 1)
    context.streamed = True
    body = builders.chat_body(stream=True, max_tokens=200)
    context.thread = threading.Thread(
        target=request_completion, args=(context, body)
    )
    context.thread.start()
    wait_until(lambda: context.engine.batch.running == 1)


@then("the engine's load report shows it with a lag and an age")
def step_late_load(context: Context) -> None:
    loads = [context.servers.load(context.engine.address, 1)]
    wait_until(
        lambda: bool(loads.append(_fetch_load(context))) or _is_running(loads)
    )
    assert context.first_load.running == 0
    ages = [report.age_s for report in loads]
    assert max(ages) <= context.lag, ages
    assert loads[-1].running == 1
    context.thread.join(MAX_WAIT_S)


def _fetch_load(context: Context) -> object:
    return context.servers.load(context.engine.address, 1)


def _is_running(loads: list[object]) -> bool:
    return loads[-1].running == 1


@given('an engine stand-in that ignores fencing')
def step_no_fencing(context: Context) -> None:
    spec = EngineSpec(batch=ContinuousBatchSpec(step_s=STEP_S), fencing=False)
    start_engine(context, spec)


@when(
    'the engine is ordered to load "{model}" with fencing token {number:d}',
)
def step_order_load(context: Context, model: str, number: int) -> None:
    _order(context, action='load', model=model, fencing=number)


@when('the engine is ordered to drain with fencing token {number:d}')
def step_order_drain(context: Context, number: int) -> None:
    _order(context, action='drain', fencing=number)


def _order(context: Context, **fields: object) -> None:
    status, _body = post_to_engine(context, '/orders', fields)
    statuses = getattr(context, 'order_statuses', ())
    context.order_statuses = (*statuses, status)


@then("the engine's orders ended as {statuses}")
def step_orders(context: Context, statuses: str) -> None:
    status_list = ', '.join(str(status) for status in context.order_statuses)
    assert status_list == statuses, status_list
    recorded = [
        record['outcome']
        for record in context.engine.history.records()
        if record['operation'] == 'order'
    ]
    expected_outcomes = {202: 'accepted', 409: 'refused'}
    assert recorded == [
        expected_outcomes[status] for status in context.order_statuses
    ]


@then('the engine eventually serves only "{model}"')
def step_serves(context: Context, model: str) -> None:
    wait_until(lambda: not context.engine.order_executor.state.loading)
    report = context.servers.load(context.engine.address, 1)
    assert report.serves == (model,), report


@then('the engine refuses new completions with proof that they did not run')
def step_refused(context: Context) -> None:
    call = builders.backend_call(context.engine.address, builders.chat_body())
    try:
        context.servers.send(call)
    except BackendServerError as error:
        assert error.not_run
        assert error.fault.value == 'refused'
    else:
        raise AssertionError('the engine accepted the completion')


@then('the running completion is complete')
def step_ends_whole(context: Context) -> None:
    context.thread.join(MAX_WAIT_S)
    assert context.error is None, context.error
    text = builders.streamed_chat_text(context.body)
    assert text == builders.expected_chat_text(200)


@then('the engine reports that it is leaving')
def step_leaving(context: Context) -> None:
    assert context.servers.load(context.engine.address, 1).leaving


@given('a weight store of {rate:d} bytes a second')
def step_weights(context: Context, rate: int) -> None:
    context.rate = rate


@given('an engine stand-in that loads from it')
def step_weighted_engine(context: Context) -> None:
    spec = WeightStoreSpec(model_bytes=100_000, bytes_per_s=context.rate)
    standin = PlatformStandin(ip=builders.LOOPBACK, weights=spec)
    standin.start()
    context.add_cleanup(standin.close)
    source = WeightSource(url=f'http://{standin.address}')
    start_engine(context, EngineSpec(weights=source))


@when('the engine loads a model of {size:d} bytes')
def step_loads(context: Context, size: int) -> None:
    started = time.monotonic()
    _order(context, action='load', model='heavy', fencing=1)
    assert not context.engine.order_executor.serves
    wait_until(lambda: context.engine.order_executor.serves == ('heavy',))
    context.took_s = time.monotonic() - started
    assert size > context.rate / 5


@then('loading took at least {seconds:g} seconds')
def step_took(context: Context, seconds: float) -> None:
    assert context.took_s >= seconds, context.took_s


@given('a service stand-in')
def step_service(context: Context) -> None:
    standin = ServiceStandin(ip=builders.LOOPBACK)
    standin.start()
    context.add_cleanup(standin.close)
    context.service = standin
    context.servers = HttpBackendServers()


@given("the service's faults are {document}")
def step_service_faults(context: Context, document: str) -> None:
    context.service.faults = BackendFaults.model_validate_json(document)


def _service_call(context: Context, path: str) -> BackendCall:
    return builders.backend_call(context.service.address, b'{}', path=path)


@when('"{path}" is called twice on the service')
def step_called_twice(context: Context, path: str) -> None:
    context.results = []
    for _ in range(2):
        try:
            answer = context.servers.send(_service_call(context, path))
            context.results.append(json.loads(b''.join(answer.chunks())))
        except BackendServerError as error:
            context.results.append(error)


@then('the first call fails as broken')
def step_first_broken(context: Context) -> None:
    error = context.results[0]
    assert isinstance(error, BackendServerError), error
    assert error.fault.value == 'broken', error.message
    assert not error.not_run


@then('the second answer reports run number {run:d}')
def step_second_run(context: Context, run: int) -> None:
    assert context.results[1]['run'] == run, context.results
    assert context.service.runs == {'/reservations': run}


@given('an adapter that keeps idle connections for {seconds:g} seconds')
def step_idle(context: Context, seconds: float) -> None:
    context.idle_s = seconds
    context.servers = HttpBackendServers(idle_s=seconds)


@when('the service is called twice in a row and once after the idle time')
def step_called_later(context: Context) -> None:
    _call_sizes(context)
    _call_sizes(context)
    time.sleep(context.idle_s * 2)
    _call_sizes(context)


def _call_sizes(context: Context) -> None:
    answer = context.servers.send(_service_call(context, '/sizes'))
    assert answer.status == 200
    assert json.loads(b''.join(answer.chunks()))['path'] == '/sizes'


@then('the calls used {count:d} connections')
def step_connections(context: Context, count: int) -> None:
    records = context.service.history.records()
    assert len(records) == 3
    assert len({record['connection'] for record in records}) == count, records
