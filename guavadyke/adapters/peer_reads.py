"""Reads objects of the platform from a host that knows them."""

from __future__ import annotations

from guavadyke.adapters import peer_calls as calls
from guavadyke.adapters.peer_rpc import PeerClient
from guavadyke.adapters.ports import StoredObject
from guavadyke.errors import PlatformUnavailableError

# The caller goes on with a read of the platform after this time. An answer
# between zones takes a few milliseconds.
_TIMEOUT_S = 0.2


class PeerReads:
    """Asks other hosts for objects. Thread-safe.

    Args:
        client: makes the calls.
    """

    def __init__(self, client: PeerClient) -> None:
        self._client = client

    def read(self, address: str, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: the host does not answer, or cannot
                tell.
        """
        call = calls.PlatformCall(calls.PlatformMethod.read, kind, name)
        try:
            reply = self._client.call(
                address, call, _TIMEOUT_S, connect_timeout_s=_TIMEOUT_S
            )
        except (
            calls.PeerNotReachedError,
            calls.PeerAnswerLostError,
        ) as error:
            raise PlatformUnavailableError(
                f'{address} does not answer: {error}'
            ) from error
        if reply.error is not None:
            raise PlatformUnavailableError(reply.error.message)
        return next(iter(reply.platform.objects), None)
