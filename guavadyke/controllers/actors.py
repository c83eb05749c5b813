"""Sends messages to actors that may already have stopped."""

from __future__ import annotations

import queue
import types
from collections.abc import Callable
from typing import Any, cast

import pykka

from guavadyke.log import EventLogger


class FailureLoggingActor(pykka.ThreadingActor):
    """Actor that logs the error which stops it.

    Args:
        logger: logs the error.
    """

    def __init__(self, logger: EventLogger) -> None:
        super().__init__()
        self._failure_logger = logger

    def on_failure(
        self,
        _exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        _traceback: types.TracebackType | None,
    ) -> None:
        """Log the error."""
        self._failure_logger.error(
            'actor_failed',
            actor=type(self).__name__,
            reason=repr(exception_value),
        )


def ask_function(actor: pykka.ActorRef[Any]) -> Callable[[object], Any]:
    """Return a function that sends a message and waits for the reply.

    The function returns None once the actor has stopped.
    """

    def ask(message: object) -> Any:
        try:
            return actor.ask(message)
        except pykka.ActorDeadError:
            return None

    return ask


def tell_function(actor: pykka.ActorRef[Any]) -> Callable[[object], None]:
    """Return a function that sends a message without waiting for a reply.

    Messages to an actor that has stopped are dropped.
    """

    def tell(message: object) -> None:
        try:
            actor.tell(message)
        except pykka.ActorDeadError:
            return

    return tell


def waiting(actor: pykka.ActorRef[Any]) -> int:
    """Return the number of messages in the actor's inbox."""
    return cast('queue.Queue[object]', actor.actor_inbox).qsize()
