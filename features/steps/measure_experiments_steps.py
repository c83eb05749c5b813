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


@when('their occupancy is worked out')
def step_occupancy(context: Context) -> None:
    context.steps = occupancy.steps(context.records, until=4)


@then('it rises above the slots from 1.0 to 2.5 seconds')
def step_above(context: Context) -> None:
    above = occupancy.intervals_above(context.steps, 2)
    assert above[0].start == 1
    assert math.isclose(above[-1].end, 2.5)
    assert occupancy.count_at(context.steps, 2.2) == 3
    assert occupancy.count_at(context.steps, 3.5) == 1


@then('the slots used between 1 and 2 seconds are 3')
def step_busy(context: Context) -> None:
    window = occupancy.Interval(1, 2)
    assert math.isclose(occupancy.busy_seconds(context.records, window), 3)


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


@then('the report names "{names}"')
def step_names(context: Context, names: str) -> None:
    found = {one.name for one in context.report.figures}
    assert set(names.split(', ')) <= found, found


@then('every load answered some requests whole')
def step_some_whole(context: Context) -> None:
    rates = {
        one.name: one.value
        for one in context.report.figures
        if one.name.endswith('.goodput')
    }
    assert len(rates) == 4
    assert all(rates.values()), rates


@when('"{name}" is measured without a place')
def step_no_place(context: Context, name: str) -> None:
    context.result = CliRunner().invoke(main, ['measure', name])


@then('the measuring command exits with {code:d}')
def step_exit(context: Context, code: int) -> None:
    assert context.result.exit_code == code, context.result.output
    assert '--embedded' in context.result.output


@given('a report of slopes that is made up')
def step_made_up(context: Context) -> None:
    context.report = builders.slope_report({
        'membership.cpu': (10, 110),
        'membership.sent': (1000, 0),
        'routing.choose': (0.1, 30),
    })


@when('the capacity page is made from it')
def step_page(context: Context) -> None:
    context.page = capacity_page(context.report)


@then('the page gives the sums that follow from the made-up slopes')
def step_sums(context: Context) -> None:
    assert '| membership | 0.4 % of a core |' in context.page, context.page
    assert '| membership sent | 389 KB/s | 14 KB/s | **no** |' in context.page
    assert '300 us |' in context.page
    assert 'made-up' in context.page


@then('what is over its budget is listed as not fitting')
def step_misfit(context: Context) -> None:
    listed = context.page.partition('## What does not fit yet')[2]
    listed = listed.partition('\n## ')[0]
    assert 'membership sent: 389 KB/s, the budget is 14 KB/s' in listed


@then('a slope that was not measured is named as such')
def step_not_measured(context: Context) -> None:
    assert 'processor time for control | not measured' in context.page
    assert 'writes of the fleet: not measured' in context.page


@when('the size of a notice of demands is measured as a slope')
def step_notice_slope(context: Context) -> None:
    context.slope = slope.Slope(
        'notice.demands',
        'B',
        'limit',
        notices.SIZES,
        notices.demand_bytes,
    )
    context.measured_slope = slope.measured(context.slope, seed=1)


@then('it is a line of at least four sizes with a small error')
def step_line(context: Context) -> None:
    found = context.measured_slope
    assert len({sample.size for sample in found.samples}) >= 4
    assert 10 < found.fit.slope < 60, found.fit
    assert found.fit.slope_error < found.fit.slope / 20, found.fit


@then('its figures carry the slope and both errors')
def step_slope_figures(context: Context) -> None:
    names = [one.name for one in slope.figures(context.measured_slope)]
    assert names == [
        'notice.demands.slope',
        'notice.demands.slope_error',
        'notice.demands.intercept',
        'notice.demands.intercept_error',
    ]
