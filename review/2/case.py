"""A front gets SIGTERM while its clients keep using their open channels."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import fleet as f  # noqa: E402
from harness import wire  # noqa: E402
from harness.platform import PLAIN_PREFIX, Engine  # noqa: E402

CHANNELS = 80
# Clients reuse channels that have been idle for up to four fifths of
# IdleTimeoutMs, which is 12 s here.
USED_EVERY_S = 8.0
ROUNDS_S = 22.0
TERM_AT_S = 10.0
GRACE_S = 8.0
# After this the balancer sends no more channels, and a cut isn't excused.
EXCUSED_S = 3.0


class Client(threading.Thread):
    """Uses one kept channel again and again."""

    def __init__(self, trial: Trial, number: int) -> None:
        super().__init__(daemon=True)
        self._trial = trial
        self._number = number

    def run(self) -> None:
        trial = self._trial
        channel, used = None, 0
        due = trial.began + self._number * USED_EVERY_S / CHANNELS
        home = trial.victim
        while due < trial.began + ROUNDS_S:
            time.sleep(max(0, due - time.monotonic()))
            due += USED_EVERY_S
            if channel is None:
                channel, used = wire.ClientChannel(home.front), 0
            request_id = f.new_id()
            sent_at = time.monotonic()
            answer = channel.call(
                'POST',
                f'{PLAIN_PREFIX}2f',
                f.stream_headers(request_id),
                b'is a shepherd free?',
                timeout_s=6,
            )
            trial.note(request_id, home, used, sent_at, answer)
            used += 1
            closes = answer.headers.get('connection', '').lower() == 'close'
            if closes or not answer.whole:
                channel.close()
                channel = None
                # The balancer has taken the front out of rotation.
                if trial.term_at is not None:
                    home = trial.other


class Trial:
    def __init__(self, record: f.Record) -> None:
        self.record = record
        self.fleet = f.Fleet()
        self.term_at: float | None = None
        self.began = 0.0
        self.answers: dict[str, tuple] = {}
        self.victim, self.other = self.fleet.add('front', 3)[:2]
        self.fleet.add('store', 1)
        self.engines = [
            Engine(self.fleet.store, f.SERVICE, zone)
            for zone in self.fleet.zones
            for _ in range(3)
        ]
        self.fleet.store.put('config', 'main', f.configuration())

    def note(self, request_id, home, used, sent_at, answer) -> None:
        ended_at = time.monotonic()
        self.answers[request_id] = (home, sent_at, ended_at, answer)
        self.record.line(
            f'request {request_id} to {home.name}, {used} before on its '
            f'channel, sent '
            f'{sent_at - self.began:.3f} ended {ended_at - self.began:.3f} '
            f'status {answer.status} whole {answer.whole} {answer.broken}'
        )

    def play(self) -> None:
        self.began = time.monotonic()
        clients = [Client(self, number) for number in range(CHANNELS)]
        for client in clients:
            client.start()
        time.sleep(TERM_AT_S)
        if f.TROUBLE:
            self.term_at = time.monotonic()
            self.record.line(f'SIGTERM to {self.victim.name}')
            self.victim.signal(signal.SIGTERM)
            while self.victim.alive and time.monotonic() < self.term_at + GRACE_S:
                time.sleep(0.02)
            self.record.say(
                f'{self.victim.name} ended by itself: {not self.victim.alive}, '
                f'{time.monotonic() - self.term_at:.2f} s after SIGTERM'
            )
            self.victim.signal(signal.SIGKILL)
        for client in clients:
            client.join(ROUNDS_S)

    def judge(self) -> int:
        runs = {
            run.request_id: run for engine in self.engines for run in engine.runs
        }
        whole = sum(answer.whole for *_, answer in self.answers.values())
        self.record.say(f'{len(self.answers)} requests, {whole} answered whole')
        lost = 0
        for request_id, (home, sent_at, ended_at, answer) in self.answers.items():
            run = runs.get(request_id)
            passed_on = run is not None and run.began_at is not None
            if answer.whole or not passed_on or home is not self.victim:
                continue
            after_s = sent_at - self.term_at if self.term_at else -1.0
            excused = not self.term_at or after_s <= EXCUSED_S
            self.record.say(
                f'cut: {request_id} at {home.name}, sent {after_s:.2f} s after '
                f'SIGTERM, cut {ended_at - sent_at:.2f} s later'
                f'{", excused" if excused else ""}'
            )
            lost += not excused
        if not f.TROUBLE and whole < len(self.answers):
            self.record.say('an answer was not whole without trouble')
            return f.COULD_NOT_RUN
        self.record.say(f'LOST broken {lost} times')
        return f.BROKEN if lost else f.HELD


def play(record: f.Record) -> int:
    trial = Trial(record)
    try:
        if not trial.fleet.start():
            record.say('the processes did not get ready')
            return f.COULD_NOT_RUN
        trial.play()
        return trial.judge()
    finally:
        trial.fleet.close()


if __name__ == '__main__':
    f.run_case(FOLDER, play)
