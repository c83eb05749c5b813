"""A daemon whose job runner fails while a file beside its settings exists."""

from __future__ import annotations

import os
from pathlib import Path

from guavadyke.controllers.forward_job_runner import JobRunner
from guavadyke.platform.daemon import main


def fault_path(settings_path: Path) -> Path:
    """Return the file that makes the runner of a daemon fail."""
    return settings_path.with_suffix('.fault')


def _break_ticks() -> None:
    path = fault_path(Path(os.environ['GUAVADYKE_CONFIG']))
    plain = JobRunner.tick

    def tick(runner: JobRunner) -> None:
        if path.exists():
            raise RuntimeError('broken by the test')
        plain(runner)

    JobRunner.tick = tick


if __name__ == '__main__':
    _break_ticks()
    main()
