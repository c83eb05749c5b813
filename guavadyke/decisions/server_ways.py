"""Whether a backend server is reached directly or through another host.

Answers a host whose links to backend servers are cut while other hosts reach
them: it goes on to serve its callers through one of these.
"""

from __future__ import annotations

import dataclasses

# How long a cut link is not tried again.
_DIRECT_RETRY_S = 2.0
# Links proved cut after which all others are taken for cut too.
_CUT_LINKS = 2
# A proof says nothing about other links after this time.
_PROOF_VALID_S = 6.0
# Servers that fell silent after which kept connections are not trusted.
_SILENT_SERVERS = 2
_SILENCE_VALID_S = 2.0


@dataclasses.dataclass
class _CutLink:
    proved_at: float
    retry_at: float


class ServerWays:
    """Links of one host to backend servers that are known to be cut.

    A link is cut if connecting fails and another host reaches the server; a
    server that nobody reaches has failed itself. Not safe for threads. All
    times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._cut: dict[str, _CutLink] = {}
        self._silent_at: dict[str, float] = {}

    def prefers_peers(self, address: str, now: float) -> bool:
        """Return whether to reach a server through another host first.

        False for a cut link also claims the attempt that tries it again.
        """
        link = self._cut.get(address)
        if link is None:
            return self._most_are_cut(now)
        if now < link.retry_at:
            return True
        link.retry_at = now + _DIRECT_RETRY_S
        return False

    def is_cut(self, address: str, now: float) -> bool:
        """Return whether the link to a server is taken for cut."""
        return address in self._cut or self._most_are_cut(now)

    def proved_cut(self, address: str, now: float) -> None:
        """Record that only another host reaches a server."""
        self._cut[address] = _CutLink(now, now + _DIRECT_RETRY_S)

    def reached_directly(self, address: str, now: float) -> None:
        """Record a direct connection; other cut links may be tried again."""
        self._silent_at.pop(address, None)
        if self._cut.pop(address, None) is not None:
            for link in self._cut.values():
                link.retry_at = now

    def fell_silent(self, address: str, now: float) -> bool:
        """Record a server that did not answer over a direct connection.

        Returns:
            Whether kept connections to all servers have to be given up.
        """
        self._silent_at[address] = now
        self._silent_at = {
            silent: at
            for silent, at in self._silent_at.items()
            if now - at <= _SILENCE_VALID_S
        }
        return len(self._silent_at) >= _SILENT_SERVERS

    def _most_are_cut(self, now: float) -> bool:
        proofs = [
            link
            for link in self._cut.values()
            if now - link.proved_at <= _PROOF_VALID_S
        ]
        return len(proofs) >= _CUT_LINKS
