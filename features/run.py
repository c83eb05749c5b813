"""Run the features and print a summary of passed and failed scenarios."""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

_OPTIONS = ('--format=progress', '--no-capture-log')
_KNOWN_RED_PATH = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'


def known_red() -> frozenset[str]:
    """Return the scenario names that KNOWN-RED.txt lists as ``test: NAME``."""
    if not _KNOWN_RED_PATH.exists():
        return frozenset()
    lines = _KNOWN_RED_PATH.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def run(arguments: list[str]) -> int:
    """Run behave and print failure reasons and a summary line.

    Args:
        arguments: command-line arguments for behave.

    Returns:
        0 if at least one scenario passed and every failed one is listed in
        KNOWN-RED.txt, otherwise 1.
    """
    runner = Runner(Configuration(arguments))
    runner.run()
    scenarios = [
        scenario
        for feature in runner.features
        for scenario in feature.walk_scenarios()
        if scenario.status != Status.skipped
    ]
    passed = [
        scenario for scenario in scenarios if scenario.status == Status.passed
    ]
    failed = [
        scenario for scenario in scenarios if scenario.status != Status.passed
    ]
    known_names = known_red()
    known = [one for one in failed if one.name.strip() in known_names]
    for scenario in failed:
        _print_failed_steps(scenario)
    for scenario in known:
        sys.stdout.write(f'known red: {scenario.name}\n')
    unexpected = len(failed) - len(known)
    sys.stdout.write(f'{len(passed)} passed, {unexpected} failed\n')
    return 1 if unexpected or not passed else 0


def _print_failed_steps(scenario: Scenario) -> None:
    """Print each failed step of the scenario with its error message."""
    for step in scenario.all_steps:
        if step.status in {Status.failed, Status.error, Status.undefined}:
            sys.stdout.write(f'failed: {scenario.name}: {step.name}\n')
            sys.stdout.write(f'{step.error_message}\n')


if __name__ == '__main__':
    sys.exit(run([*_OPTIONS, *(sys.argv[1:] or ['features'])]))
