"""Behave hooks for the whole test run."""

import logging

from behave.runner import Context

from guavadyke import log


def before_all(_context: Context) -> None:
    """Log only errors, so that the output shows the test results."""
    log.configure('error')
    logging.getLogger('waitress').setLevel(logging.ERROR)
