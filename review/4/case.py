"""An engine answers one batch item with a chunk that never ends."""

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
from harness.platform import PLAIN_PREFIX, Engine, Run  # noqa: E402

FRONTS = 4
CHANNELS = 6
JOBS = 5
ITEMS = 10
JOB_EVERY_S = 1.0
ITEM_EVENTS = 60
TROUBLE_AT_S = 5.0
# Answers are spoiled for 5.5 s at the most, on a share of the engines of 0.35
# at the most, and at most 2 in 100 of the answers; here these are up to three
# answers of one engine of nine, one after the other, of over 200.
TROUBLE_S = 5.5
SPOILED = 3
PLAYED_S = 25.0
# LinkMbps of a front is 350.
BYTES_PER_S = 350e6 / 8
PIECE_S = 0.01
RESTART_S = 0.5


class Trial:
    def __init__(self, record: f.Record) -> None:
        self.record = record
        self.fleet = f.Fleet()
        self.fronts = self.fleet.add('front', FRONTS)
        self.fleet.add('store', 1)
        self.engines = [
            Engine(
                self.fleet.store,
                f.SERVICE,
                zone,
                events_of=lambda _headers: ITEM_EVENTS,
            )
            for zone in self.fleet.zones
            for _ in range(3)
        ]
        self.engines[0].spoil = self.spoil
        self.fleet.store.put('config', 'main', f.configuration())
        self.lock = threading.Lock()
        self.ended = threading.Event()
        self.trouble_from = float('inf')
        self.spoiled = 0
        self.spoiling = False
        self.answers: list[tuple] = []
        # Processes that ended for their memory, and when.
        self.ends: list[tuple[f.Process, float]] = []
        self.peak_mb: dict[str, float] = {}

    def spoil(self, request: wire.Request, run: Run) -> bool:
        """Answer an item with one chunk of a gigabyte, at the link's speed."""
        now = time.monotonic()
        with self.lock:
            wanted = (
                f.TROUBLE
                and request.path.startswith(f.JOB_PREFIX)
                and self.trouble_from <= now < self.trouble_from + TROUBLE_S
                and self.spoiled < SPOILED
                and not self.spoiling
                and not any(one.cls == 'front' for one, _ in self.ends)
            )
            if not wanted:
                return False
            self.spoiled += 1
            self.spoiling = True
        self.record.say(
            f'engine {run.engine_id} answers item {run.request_id} with bytes '
            'without end'
        )
        sent = 0
        try:
            request.channel.send(
                (
                    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                    f'Request-Id: {run.request_id}\r\n'
                    f'Response-Signature: signed.{run.engine_id}\r\n'
                    'Transfer-Encoding: chunked\r\n\r\n40000000\r\n'
                ).encode()
            )
            piece = b'x' * int(BYTES_PER_S * PIECE_S)
            while True:
                due = now + sent / BYTES_PER_S
                time.sleep(max(0, due - time.monotonic()))
                request.channel.send(piece)
                sent += len(piece)
        except OSError:
            self.record.say(
                f'its caller closed after {time.monotonic() - now:.2f} s and '
                f'{sent / 1e6:.0f} MB'
            )
            raise
        finally:
            self.spoiling = False

    def watch_memory(self) -> None:
        """End a process that uses more than MemoryMb, as the platform does."""
        while not self.ended.wait(0.02):
            for process in self.fleet.processes:
                used_mb = process.memory_mb
                known = self.peak_mb.get(process.name, 0)
                self.peak_mb[process.name] = max(known, used_mb)
                limit_mb = f.MEMORY_MB[process.cls]
                if used_mb <= limit_mb:
                    continue
                self.ends.append((process, time.monotonic()))
                self.record.say(
                    f'{process.name} uses {used_mb:.0f} MB, over its limit of '
                    f'{limit_mb} MB, and is ended'
                )
                process.signal(signal.SIGKILL)
                process.running.wait()
                threading.Timer(RESTART_S, process.start).start()

    def use_channel(self, front: f.Process) -> None:
        """Keep a channel to a front in use until the trial ends."""
        channel, used = None, 0
        while not self.ended.wait(0.1):
            if channel is None:
                try:
                    channel, used = wire.ClientChannel(front.front), 0
                except OSError:
                    continue
            request_id = f.new_id()
            answer = channel.call(
                'POST',
                f'{PLAIN_PREFIX}2f',
                f.stream_headers(request_id),
                b'is a shepherd free?',
                timeout_s=6,
            )
            self.answers.append(
                (request_id, front, used, time.monotonic(), answer)
            )
            self.record.line(
                f'request {request_id} to {front.name}, {used} before on its '
                f'channel: status {answer.status} whole {answer.whole} '
                f'{answer.broken}'
            )
            used += 1
            closes = answer.headers.get('connection', '').lower() == 'close'
            if closes or not answer.whole:
                channel.close()
                channel = None

    def play(self) -> bool:
        threading.Thread(target=self.watch_memory, daemon=True).start()
        clients = [
            threading.Thread(
                target=self.use_channel, args=(front,), daemon=True
            )
            for front in self.fronts
            for _ in range(CHANNELS)
        ]
        for client in clients:
            client.start()
        time.sleep(TROUBLE_AT_S)
        self.trouble_from = time.monotonic()
        for number in range(JOBS):
            job_id = f.new_id()
            item_ids = [f.new_id() for _ in range(ITEMS)]
            answer = f.submit(self.fronts[number % FRONTS], job_id, item_ids)
            self.record.line(f'job {job_id}: {answer.status}')
            time.sleep(JOB_EVERY_S)
        time.sleep(PLAYED_S - TROUBLE_AT_S - JOBS * JOB_EVERY_S)
        self.ended.set()
        for client in clients:
            client.join()
        return True

    def judge(self) -> int:
        ran = {
            run.request_id
            for engine in self.engines[1:]
            for run in engine.runs
            if run.began_at is not None
        }
        for name, used_mb in self.peak_mb.items():
            self.record.say(f'{name} used {used_mb:.0f} MB at the most')
        lost = [
            (request_id, front)
            for request_id, front, used, _, answer in self.answers
            if used and not answer.status and request_id in ran
        ]
        whole = sum(answer.whole for *_, answer in self.answers)
        spoiled = f', {self.spoiled} items answered without end'
        self.record.say(
            f'{len(self.answers)} requests, {whole} answered whole{spoiled}; '
            f'{len(self.ends)} processes ended for their memory'
        )
        if f.TROUBLE and not self.spoiled:
            return f.COULD_NOT_RUN
        self.record.say(
            f'LOST: {len(lost)} kept channels closed without an answer after '
            'their requests had been passed on to sound engines (3 allowed)'
        )
        return f.BROKEN if len(lost) > 3 and self.ends else f.HELD


def play(record: f.Record) -> int:
    trial = Trial(record)
    try:
        if not trial.fleet.start():
            record.say('the processes did not get ready')
            return f.COULD_NOT_RUN
        return trial.judge() if trial.play() else f.COULD_NOT_RUN
    finally:
        trial.fleet.close()


if __name__ == '__main__':
    f.run_case(FOLDER, play)
