"""Items of ended jobs run again when the jobs are removed from the store."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness-2'))
import fleet as system  # noqa: E402

# Results are kept for StatusS after the submission; removal follows 60 s later.
STATUS_S = 20
ENDED_JOBS = 24
ITEMS = 10
PROMPT = 250
OUTPUT = 280
CANCEL_S = 3.0
USUAL_JOBS_S = 0.514
UNTIL_S = 96


def main(fleet: system.Fleet) -> int:
    fleet.store.put(
        'config', 'main', system.configuration(system.batch_route())
    )
    fleet.add_engines(5, lambda _item, number: b'word %d' % number)
    if not fleet.start(
        fronts=4, workers=2, **{'Bounds.StatusS': str(STATUS_S)}
    ):
        return system.NOT_RUN
    began = time.monotonic()
    ended: dict[str, float] = {}
    for number in range(ENDED_JOBS):
        job_id = f'e{number:015x}'
        front = fleet.fronts[number % 4]
        if system.submit(front, job_id, job_items(job_id)) != 202:
            return system.NOT_RUN
        if fleet.trouble:
            end(fleet, front, job_id, ended)
        time.sleep(0.2)
    number = 0
    while time.monotonic() - began < UNTIL_S:
        job_id = f'a{number:015x}'
        system.submit(fleet.fronts[number % 4], job_id, job_items(job_id))
        number += 1
        time.sleep(1 / USUAL_JOBS_S)
    return judge(fleet, ended)


def job_items(job_id: str) -> list:
    return [
        system.item(f'{job_id}-{n}', PROMPT, OUTPUT) for n in range(ITEMS)
    ]


def end(fleet, front, job_id: str, ended: dict[str, float]) -> None:
    status, _body = front.call('DELETE', f'/api/lots/{job_id}')
    fleet.record(f'{front.name} answers {status} to the end of {job_id}')
    if status == 200:
        ended[job_id] = time.monotonic()


def judge(fleet: system.Fleet, ended: dict[str, float]) -> int:
    runs = [run for engine in fleet.engines for run in engine.runs]
    late = [
        (at, item_id)
        for at, item_id, _after in sorted(runs)
        if item_id.partition('-')[0] in ended
        and at > ended[item_id.partition('-')[0]] + CANCEL_S
    ]
    for at, item_id in late[:20]:
        since = at - ended[item_id.partition('-')[0]]
        fleet.record(
            f'{item_id} has begun to run {since:.1f} s after the end of its job'
        )
    jobs = {item_id.partition('-')[0] for _at, item_id in late}
    fleet.record(
        f'{len(late)} items of {len(jobs)} of {len(ended)} ended jobs have run '
        f'later than {CANCEL_S:.0f} s after the end'
    )
    kinds = ('forward-jobs', 'forward-progress', 'forward-results')
    fleet.record(
        'objects in the store: '
        + ', '.join(f'{kind} {len(fleet.store.names(kind))}' for kind in kinds)
    )
    return system.BROKEN if late else system.HELD


system.run_case(__file__, main)
