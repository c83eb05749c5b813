"""Authenticates messages between entry hosts with an HMAC of the fleet key."""

from __future__ import annotations

import enum
import hmac

FORMAT_VERSION = 1
_MAGIC = b'GVD'
_MAC_BYTES = 16
_HEADER_BYTES = len(_MAGIC) + 1
AUTHENTICATION_BYTES = _HEADER_BYTES + _MAC_BYTES


class RejectionReason(enum.StrEnum):
    """Why a message from a peer is rejected."""

    not_ours = 'not_ours'
    other_format = 'other_format'
    wrong_key = 'wrong_key'
    unreadable = 'unreadable'
    stale = 'stale'
    replayed = 'replayed'
    too_large = 'too_large'


class PeerMessageError(Exception):
    """A message from a peer was rejected.

    Args:
        refusal: the reason.
        detail: text for the log, such as the unknown format version.
    """

    def __init__(self, refusal: RejectionReason, detail: str) -> None:
        super().__init__(f'{refusal}: {detail}')
        self.refusal = refusal
        self.detail = detail


class MessageAuthenticator:
    """Adds and verifies the header and HMAC of messages.

    Args:
        key: the key that all entry hosts share.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key

    def sign(self, payload: bytes) -> bytes:
        """Return the payload with its header and HMAC in front."""
        header = _MAGIC + bytes([FORMAT_VERSION])
        return header + self._compute_mac(header, payload) + payload

    def verify(self, message: bytes) -> bytes:
        """Verify a message and return its payload.

        Raises:
            PeerMessageError: the message has another key or format, or is no
                message between entry hosts.
        """
        header = message[:_HEADER_BYTES]
        if len(message) < AUTHENTICATION_BYTES or not header.startswith(_MAGIC):
            raise PeerMessageError(
                RejectionReason.not_ours, 'unrecognized header'
            )
        if header[-1] != FORMAT_VERSION:
            raise PeerMessageError(
                RejectionReason.other_format,
                f'format {header[-1]}, not {FORMAT_VERSION}',
            )
        payload = message[AUTHENTICATION_BYTES:]
        mac = message[_HEADER_BYTES:AUTHENTICATION_BYTES]
        if not hmac.compare_digest(mac, self._compute_mac(header, payload)):
            raise PeerMessageError(
                RejectionReason.wrong_key, 'the HMAC differs'
            )
        return payload

    def _compute_mac(self, header: bytes, payload: bytes) -> bytes:
        return hmac.digest(self._key, header + payload, 'sha256')[:_MAC_BYTES]
