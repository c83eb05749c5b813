"""Seals messages between entry hosts with the fleet key."""

from __future__ import annotations

import enum
import hmac

FORMAT = 1
_MAGIC = b'GVD'
_MAC_BYTES = 16
_HEAD_BYTES = len(_MAGIC) + 1
SEAL_BYTES = _HEAD_BYTES + _MAC_BYTES


class Refusal(enum.StrEnum):
    """Why a message from a peer is refused."""

    not_ours = 'not_ours'
    other_format = 'other_format'
    wrong_key = 'wrong_key'
    unreadable = 'unreadable'
    stale = 'stale'
    replayed = 'replayed'
    too_large = 'too_large'


class PeerMessageError(Exception):
    """A message from a peer that is refused.

    Args:
        refusal: why.
        detail: what was found.
    """

    def __init__(self, refusal: Refusal, detail: str) -> None:
        super().__init__(f'{refusal}: {detail}')
        self.refusal = refusal
        self.detail = detail


class MessageAuthenticator:
    """Adds and checks format and HMAC.

    Args:
        key: key that all entry hosts share.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key

    def close(self, payload: bytes) -> bytes:
        """Return the sealed message."""
        head = _MAGIC + bytes([FORMAT])
        return head + self._mac(head, payload) + payload

    def open(self, message: bytes) -> bytes:
        """Return the payload.

        Raises:
            PeerMessageError: it is not a message of this fleet and format.
        """
        head = message[:_HEAD_BYTES]
        if len(message) < SEAL_BYTES or not head.startswith(_MAGIC):
            raise PeerMessageError(Refusal.not_ours, 'no known head')
        if head[-1] != FORMAT:
            raise PeerMessageError(
                Refusal.other_format,
                f'format {head[-1]}, not {FORMAT}',
            )
        payload = message[SEAL_BYTES:]
        mac = message[_HEAD_BYTES:SEAL_BYTES]
        if not hmac.compare_digest(mac, self._mac(head, payload)):
            raise PeerMessageError(Refusal.wrong_key, 'the HMAC differs')
        return payload

    def _mac(self, head: bytes, payload: bytes) -> bytes:
        return hmac.digest(self._key, head + payload, 'sha256')[:_MAC_BYTES]
