"""Hooks of the test runner."""

import logging

from behave.runner import Context

from guavadyke import log


def before_all(_context: Context) -> None:
    """Log only what fails, so that the run shows its own results."""
    log.configure('error')
    logging.getLogger('waitress').setLevel(logging.ERROR)
