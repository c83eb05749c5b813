"""Sends messages to actors that may already have stopped."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any, cast

import pykka


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
