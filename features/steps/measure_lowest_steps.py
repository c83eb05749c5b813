"""Steps of measure_lowest.feature."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from behave import given, then, when
from behave.runner import Context

from bench import lowest_worth

_SITE = 'site'


@given(
    'a site with days "{quiet}" and "{trouble}" whose classes have floors of '
    '{high:g} and {low:g}'
)
def step_site(
    context: Context, quiet: str, trouble: str, high: float, low: float
) -> None:
    floors = {quiet: (high,), trouble: (low,)}
    context.site = lowest_worth.Site(
        _SITE,
        {'class': ('digest',), 'zone': ()},
        {'class': floors, 'zone': floors},
    )
    context.entries = []


@given(
    'a score in which the class "digest" was worth {first:g} on "{day}" and '
    '{second:g} on "{other}"'
)
def step_score(
    context: Context, first: float, day: str, second: float, other: str
) -> None:
    context.entries.append(_entry({day: first, other: second}))


@given('a hunt in which the class "digest" was worth {worth:g} on "{day}"')
def step_hunt(context: Context, worth: float, day: str) -> None:
    context.entries.append(_entry({day: worth}))


@when('the {most:d} lowest parts are listed')
def step_list(context: Context, most: int) -> None:
    context.parts = lowest_worth.lowest([context.site], context.entries, most)


@then('they are "{first}" and "{second}"')
def step_parts(context: Context, first: str, second: str) -> None:
    found = [f'{part.name} of {part.day}' for part in context.parts]
    assert found == [first, second], found


@then('their margins are {margin:g}')
def step_margins(context: Context, margin: float) -> None:
    found = [round(part.margin, 3) for part in context.parts]
    assert found == [margin], found


def _entry(worth_by_day: Mapping[str, float]) -> dict[str, Any]:
    return {
        'site': _SITE,
        'head': '2db0ab5',
        'days': [
            {'name': day, 'by_class': [worth], 'by_zone': []}
            for day, worth in worth_by_day.items()
        ],
    }
