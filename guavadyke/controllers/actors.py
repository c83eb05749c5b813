"""Talks to actors from threads that may outlive them."""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Any, cast

import pykka


def ask_function(actor: pykka.ActorRef[Any]) -> Callable[[object], Any]:
    """Return a function that asks the actor; None once it has ended."""

    def ask(message: object) -> Any:
        try:
            return actor.ask(message)
        except pykka.ActorDeadError:
            return None

    return ask


def tell_function(actor: pykka.ActorRef[Any]) -> Callable[[object], None]:
    """Return a function that tells the actor, as long as it lives."""

    def tell(message: object) -> None:
        try:
            actor.tell(message)
        except pykka.ActorDeadError:
            return

    return tell


def waiting(actor: pykka.ActorRef[Any]) -> int:
    """Return how many messages wait for the actor."""
    return cast('queue.Queue[object]', actor.actor_inbox).qsize()
