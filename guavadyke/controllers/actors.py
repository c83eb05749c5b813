"""Actors that outlive unexpected errors, and messages to them."""

from __future__ import annotations

import abc
import dataclasses
import queue
from collections.abc import Callable
from typing import Any, cast

import pykka

from guavadyke.part_health import PartHealth


@dataclasses.dataclass(frozen=True)
class _Failure:
    """The reply to a message that could not be handled."""

    error: Exception


class GuardedActor(pykka.ThreadingActor):
    """Actor that goes on with the next message after an unexpected error.

    An error while a message is handled is logged. It is raised again where
    ``ask_function`` waits for the reply.

    Args:
        health: logs and counts the errors, by type of message.
    """

    use_daemon_thread = True

    def __init__(self, health: PartHealth) -> None:
        super().__init__()
        self._health = health

    def on_receive(self, message: Any) -> Any:
        """Handle a message; return its reply, or the error."""
        task = type(message).__name__
        try:
            reply = self.handle(message)
        except Exception as error:
            self._health.failed(task, error)
            return _Failure(error)
        self._health.succeeded(task)
        return reply

    @abc.abstractmethod
    def handle(self, message: Any) -> Any:
        """Handle a message; the type of the reply depends on the message."""


def ask_function(actor: pykka.ActorRef[Any]) -> Callable[[object], Any]:
    """Return a function that sends a message and waits for the reply.

    The function returns None once the actor has stopped, and raises the error
    by which a guarded actor could not handle the message.
    """

    def ask(message: object) -> Any:
        try:
            reply = actor.ask(message)
        except pykka.ActorDeadError:
            return None
        if isinstance(reply, _Failure):
            raise reply.error
        return reply

    return ask


def tell_function(actor: pykka.ActorRef[Any]) -> Callable[[object], None]:
    """Return a function that sends a message without waiting for a reply.

    Messages to an actor that has been stopped are dropped. Errors do not stop
    guarded actors.
    """

    def tell(message: object) -> None:
        try:
            actor.tell(message)
        except pykka.ActorDeadError:
            return

    return tell


def is_sound(actor: pykka.ActorRef[Any], health: PartHealth) -> bool:
    """Return whether an actor lives and handles its messages."""
    return actor.is_alive() and not health.stuck


def waiting(actor: pykka.ActorRef[Any]) -> int:
    """Return the number of messages in the actor's inbox."""
    return cast('queue.Queue[object]', actor.actor_inbox).qsize()
