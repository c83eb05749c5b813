"""Steps of measure_load.feature."""

import contextlib
import json
import math
import random
import socket
import tempfile
import time
import types
from pathlib import Path

import pydantic
from behave import given, then, when
from behave.runner import Context

from features import builders_measure as builders
from guavadyke.errors import GuavadykeError
from guavadyke.measure import (
    arrivals,
    load_generator,
    plot,
    report,
    stream_client,
)
from guavadyke.measure.slopes import line_fit

_ENDINGS = types.MappingProxyType({
    'an end marker': builders.DONE_EVENT,
    'nothing': b'',
    'an error': builders.ERROR_EVENT,
})


def _serve(context: Context, delay_s: float, ending: bytes) -> None:
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    handler = builders.stream_handler(3, delay_s, ending)
    context.url = stack.enter_context(builders.serving(handler))


@given('a bursty load of {seconds:d} seconds')
def step_bursty(context: Context, seconds: int) -> None:
    context.seconds = seconds
    context.pattern = arrivals.OnOff(
        on_rate_per_s=90,
        off_rate_per_s=10,
        on_s=1,
        off_s=3,
    )


@when('its arrival times are drawn twice with seed 7 and once with seed 8')
def step_arrival_times(context: Context) -> None:
    context.arrival_times = [
        arrivals.arrivals(context.pattern, context.seconds, random.Random(seed))
        for seed in (7, 7, 8)
    ]


@then('the first two are equal and the third differs')
def step_equal(context: Context) -> None:
    first, second, third = context.arrival_times
    assert first == second
    assert first != third
    assert list(first) == sorted(first)


@then('the bursts contain the share of arrivals that follows from the rates')
def step_bursts(context: Context) -> None:
    starts = arrivals.burst_starts(context.pattern, context.seconds)
    assert starts == (3, 7, 11, 15, 19)
    arrival_times = context.arrival_times[0]
    arrivals_in_bursts = sum(
        any(start <= arrival_s < start + 1 for start in starts)
        for arrival_s in arrival_times
    )
    share = arrivals_in_bursts / len(arrival_times)
    assert math.isclose(share, 0.75, abs_tol=0.06), share


@given('a streaming server that takes {delay_s:f} seconds for its first token')
def step_slow_server(context: Context, delay_s: float) -> None:
    _serve(context, delay_s, builders.DONE_EVENT)


@given('a streaming server that ends with {ending}')
def step_ending_server(context: Context, ending: str) -> None:
    _serve(context, 0, _ENDINGS[ending])


@when('{count:d} requests arrive at once and at most one may be in flight')
def step_at_once(context: Context, count: int) -> None:
    load = load_generator.OpenLoad(
        arrivals_s=(0,) * count,
        make_request=lambda _number: builders.stream_request(context.url),
        in_flight=1,
    )
    context.results = load_generator.run_open(load).results


@then('the last first-token latency is at least {min_latency_s:f} seconds')
def step_last_latency(context: Context, min_latency_s: float) -> None:
    assert all(
        result.ending is stream_client.Ending.whole
        for result in context.results
    )
    assert [result.tokens for result in context.results] == [3, 3, 3, 3, 3]
    assert context.results[-1].first_token_s >= min_latency_s


@when('one measured request is sent')
def step_one_request(context: Context) -> None:
    request = builders.stream_request(context.url)
    context.measured = stream_client.stream(request, time.monotonic())


@when('one measured request is sent to a closed port')
def step_closed_port(context: Context) -> None:
    with contextlib.closing(socket.socket()) as unused_socket:
        unused_socket.bind(('127.0.0.1', 0))
        port = unused_socket.getsockname()[1]
    request = builders.stream_request(f'http://127.0.0.1:{port}')
    context.measured = stream_client.stream(request, time.monotonic())


@then('the measured ending is "{expected}"')
def step_ending(context: Context, expected: str) -> None:
    assert context.measured.ending == expected, context.measured


@when('a figure without a value is reported against a target')
def step_no_value(context: Context) -> None:
    context.figures = [
        report.figure('ttft', value, 'ms', '<= 10')
        for value in (None, float('nan'), float('inf'))
    ]


@then('the reported figure is null and does not meet the target')
def step_null(context: Context) -> None:
    assert all(figure.value is None for figure in context.figures)
    assert not any(figure.holds for figure in context.figures)


@when('a report claims that {value:d} meets the target "{target}"')
def step_wrong_claim(context: Context, value: int, target: str) -> None:
    context.document = {
        'measurement': 'relay',
        'figures': [
            {
                'name': 'ttft',
                'value': value,
                'unit': 'ms',
                'target': target,
                'holds': True,
            },
        ],
        'policy': {},
        'seed': 1,
        'seconds': 1,
        'commit': 'unknown',
        'place': 'embedded',
    }


@then('reading the report fails')
def step_reading_fails(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'report.json'
        path.write_text(json.dumps(context.document), encoding='utf-8')
        try:
            report.read_report(path)
        except pydantic.ValidationError:
            return
    raise AssertionError('the invalid report was accepted')


@given('samples of a line of slope 3 and intercept 10 with noise 0.5')
def step_samples(context: Context) -> None:
    rng = random.Random(5)
    context.samples = [
        line_fit.Sample(size, 10 + 3 * size + rng.gauss(0, 0.5))
        for size in range(10, 110, 10)
    ]


@when('a line is fitted')
def step_fit(context: Context) -> None:
    context.line = line_fit.fit_line(context.samples)


@then('the slope is 3 within four standard errors')
def step_slope(context: Context) -> None:
    line = context.line
    assert abs(line.slope - 3) < 4 * line.slope_error, line
    assert abs(line.intercept - 10) < 4 * line.intercept_error, line
    assert math.isclose(line.slope_error, 0, abs_tol=0.05), line
    assert abs(line.at(1000) - 3010) < 20


@then('fewer than four sizes are refused')
def step_few_sizes(context: Context) -> None:
    try:
        line_fit.fit_line([*context.samples[:3], *context.samples[:3]])
    except GuavadykeError:
        return
    raise AssertionError('a fit to three sizes was accepted')


@when('a plot is drawn to an SVG file')
def step_draw(context: Context) -> None:
    panel = plot.Panel(
        title='first token',
        x_label='s',
        y_label='ms',
        curves=(plot.Curve('measured', (0, 1, 2), (3, 2, 5)),),
    )
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'plot.svg'
        plot.draw((panel,), path)
        context.drawing = path.read_text(encoding='utf-8')


@then('the plot file holds an SVG document')
def step_svg(context: Context) -> None:
    assert '<svg' in context.drawing


@then('a plot with another suffix is refused')
def step_suffix(context: Context) -> None:
    try:
        plot.draw((), Path('plot.bmp'))
    except GuavadykeError:
        return
    raise AssertionError('the BMP suffix was accepted')
