"""Steps of measure_experiments.feature."""

import math
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from features import builders_measure as builders
from guavadyke.cli import main
from guavadyke.measure import occupancy, report
from guavadyke.measure.slopes import notices, slope
from guavadyke.measure.slopes.capacity import capacity_page


@given('histories of overlapping requests on an engine of 2 slots')
def step_histories(context: Context) -> None:
    context.records = (
        builders.engine_record('online 1', 0, 2),
        builders.engine_record('batch item 2', 0.5, 3),
        builders.engine_record('batch item 3', 1, 2.5),
        builders.engine_record('online 4', 2, None),
    )


@when('their occupancy is computed')
def step_occupancy(context: Context) -> None:
    context.steps = occupancy.concurrency_steps(context.records, until=4)


@then('more requests than slots run from 1.0 to 2.5 seconds')
def step_overloaded(context: Context) -> None:
    above = occupancy.intervals_above(context.steps, 2)
    assert above[0].start == 1
    assert math.isclose(above[-1].end, 2.5)
    assert occupancy.running_at(context.steps, 2.2) == 3
    assert occupancy.running_at(context.steps, 3.5) == 1


@then('the slot time used between 1 and 2 seconds is 3 seconds')
def step_slot_time(context: Context) -> None:
    window = occupancy.Interval(1, 2)
    assert math.isclose(occupancy.busy_slot_seconds(context.records, window), 3)


@when('"{name}" is measured for {seconds:d} seconds on an embedded fleet')
def step_measured(context: Context, name: str, seconds: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'report.json'
        context.result = CliRunner().invoke(
            main,
            [
                'measure',
                name,
                '--embedded',
                '--seconds',
                str(seconds),
                '--seed',
                '7',
                '--report',
                str(path),
            ],
        )
        assert context.result.exit_code == 0, context.result.output
        context.report = report.read_report(path)


@then('the command exits with 0 and its report is valid')
def step_valid(context: Context) -> None:
    assert context.result.exit_code == 0
    assert context.report.seed == 7
    assert context.report.place == 'embedded'
    assert context.report.policy


@then('the report has the figures "{names}"')
def step_names(context: Context, names: str) -> None:
    reported = {figure.name for figure in context.report.figures}
    assert set(names.split(', ')) <= reported, reported


@then('every load answered some requests whole')
def step_some_whole(context: Context) -> None:
    rates = {
        figure.name: figure.value
        for figure in context.report.figures
        if figure.name.endswith('.goodput')
    }
    assert len(rates) == 4
    assert all(rates.values()), rates


@when('"{name}" is measured without a target')
def step_no_target(context: Context, name: str) -> None:
    context.result = CliRunner().invoke(main, ['measure', name])


@then('the measure command exits with {code:d} and asks for a target')
def step_exit(context: Context, code: int) -> None:
    assert context.result.exit_code == code, context.result.output
    assert '--embedded' in context.result.output


@given('a made-up report of slopes')
def step_made_up(context: Context) -> None:
    context.report = builders.slope_report({
        'membership.cpu': (10, 110),
        'membership.sent': (1000, 0),
        'routing.choose': (0.1, 30),
    })


@when('the capacity page is made from it')
def step_page(context: Context) -> None:
    context.page = capacity_page(context.report)


@then('the page shows the sums computed from these slopes')
def step_page_sums(context: Context) -> None:
    assert '| membership | 0.4 % of a core |' in context.page, context.page
    assert '| membership sent | 389 KB/s | 14 KB/s | **no** |' in context.page
    assert '300 us |' in context.page
    assert 'made-up' in context.page


@then('a cost over its budget is listed as not fitting')
def step_over_budget(context: Context) -> None:
    listed = context.page.partition('## What does not fit yet')[2]
    listed = listed.partition('\n## ')[0]
    assert 'membership sent: 389 KB/s, the budget is 14 KB/s' in listed


@then('a slope missing from the report is shown as not measured')
def step_not_measured(context: Context) -> None:
    assert 'processor time for control | not measured' in context.page
    assert 'writes of the fleet: not measured' in context.page


@when('the size of a notice is measured by its number of demands')
def step_notice_slope(context: Context) -> None:
    context.slope = slope.Slope(
        'notice.demands',
        'B',
        'limit',
        notices.SIZES,
        notices.demands_notice_bytes,
    )
    context.measured_slope = slope.measure_slope(context.slope, seed=1)


@then('the line is fitted to at least four sizes with a small error')
def step_line(context: Context) -> None:
    fitted = context.measured_slope
    assert len({sample.size for sample in fitted.samples}) >= 4
    assert 10 < fitted.line.slope < 60, fitted.line
    assert fitted.line.slope_error < fitted.line.slope / 20, fitted.line


@then('its figures are slope, intercept and their errors')
def step_slope_figures(context: Context) -> None:
    names = [figure.name for figure in slope.figures(context.measured_slope)]
    assert names == [
        'notice.demands.slope',
        'notice.demands.slope_error',
        'notice.demands.intercept',
        'notice.demands.intercept_error',
    ]


@when(
    'the time to record such a count is measured in a small and a large fleet'
)
def step_received_counts(context: Context) -> None:
    context.costs = [
        min(notices.received_count_us(hosts, 1) for _ in range(5))
        for hosts in (notices.HOST_SIZES[0], notices.HOST_SIZES[-1])
    ]


@then('it takes at most twice as long in the large one')
def step_as_long(context: Context) -> None:
    small, large = context.costs
    assert large <= 2 * small, context.costs
