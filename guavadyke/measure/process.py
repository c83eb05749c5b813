"""Memory and CPU time of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

_KIBIBYTE = 1024
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


def resident_bytes(pid: int) -> int | None:
    """Return the resident memory of a process, None if it can't be read."""
    return _status_bytes(pid, 'VmRSS')


def peak_bytes(pid: int) -> int | None:
    """Return the peak resident memory of a process, None if unknown."""
    return _status_bytes(pid, 'VmHWM')


def cpu_s(pid: int) -> float | None:
    """Return the user and system CPU time in seconds, None if unknown."""
    try:
        text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    except OSError:
        return None
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _status_bytes(pid: int, key: str) -> int | None:
    try:
        text = Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    except OSError:
        return None
    for line in text.splitlines():
        if line.startswith(f'{key}:'):
            return int(line.split()[1]) * _KIBIBYTE
    return None
