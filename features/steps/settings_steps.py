"""Steps of settings.feature."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from features import builders
from guavadyke.errors import GuavadykeError
from guavadyke.settings import load_settings


@given('settings with an unknown key and an out-of-range port')
def step_invalid_settings(context: Context) -> None:
    document = builders.entry_settings_document()
    document['surprise'] = 1
    document['caller'] = {'listen': {'ip': '127.0.0.1', 'port': 70000}}
    context.document = document


@when('the settings are validated')
def step_validate(context: Context) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_text(json.dumps(context.document), encoding='utf-8')
        try:
            load_settings(path)
        except GuavadykeError as error:
            context.findings = error.findings


@then('the findings are at exactly "{first}" and "{second}"')
def step_findings(context: Context, first: str, second: str) -> None:
    places = {finding.place for finding in context.findings}
    assert places == {first, second}, places
