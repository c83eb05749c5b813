"""Run every feature and close with one line that counts the scenarios."""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

_OPTIONS = ('--format=progress', '--no-capture-log')
_KNOWN_RED = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def known_red() -> frozenset[str]:
    """Return the scenario names that KNOWN-RED.txt lists as ``test: NAME``."""
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def run(arguments: list[str]) -> int:
    """Run behave and print the closing line.

    Args:
        arguments: behave's own command-line arguments.

    Returns:
        0 when no scenario failed but those that KNOWN-RED.txt lists.
    """
    runner = Runner(Configuration(arguments))
    runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
        if scenario.status != Status.skipped
    ]
    passed = [one for one in scenarios if one.status == Status.passed]
    failed = [one for one in scenarios if one.status != Status.passed]
    listed = known_red()
    red = [one for one in failed if one.name in listed]
    for scenario in failed:
        _write_reason(scenario)
    for scenario in red:
        sys.stdout.write(f'known red: {scenario.name}\n')
    unexpected = len(failed) - len(red)
    sys.stdout.write(f'{len(passed)} passed, {unexpected} failed\n')
    return 1 if unexpected or not passed else 0


def _write_reason(scenario: Scenario) -> None:
    """Print the steps that failed and why."""
    for step in scenario.all_steps:
        if step.status in {Status.failed, Status.error, Status.undefined}:
            sys.stdout.write(f'failed: {scenario.name}: {step.name}\n')
            sys.stdout.write(f'{step.error_message}\n')


if __name__ == '__main__':
    sys.exit(run([*_OPTIONS, *(sys.argv[1:] or ['features'])]))
