"""A request that lies in the body of a batch item runs at an engine."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'harness-2'))
import fleet as system  # noqa: E402

JOB = '7c41e09b52d6a3f8'
ITEMS = 4
SMUGGLED = 'f00dfeed00000001'
WAIT_S = 8


class ChunkedEngine(system.Engine):
    """An engine that reads bodies in chunks, which go before a length."""

    def _post(self, call) -> None:
        encoding = call.headers.get('Transfer-Encoding') or ''
        call.read_body = (
            (lambda: read_chunks(call.rfile))
            if 'chunked' in encoding
            else (lambda: system.read_length(call))
        )
        super()._post(call)


def read_chunks(source) -> bytes:
    body = b''
    while size := int(source.readline().split(b';')[0] or b'0', 16):
        body += source.read(size)
        source.readline()
    while source.readline().strip():
        pass
    return body


def smuggling_body() -> bytes:
    inner = '\r\n'.join((
        f'POST {system.JOB_PREFIX}3/inner HTTP/1.1',
        f'Host: {system.HOST}',
        f'Request-Id: {SMUGGLED}',
        'Model: m',
        'Token-Counts: 100,50',
        'Content-Length: 0',
        '',
        '',
    ))
    return b'0\r\n\r\n' + inner.encode()


def main(fleet: system.Fleet) -> int:
    fleet.store.put(
        'config', 'main', system.configuration(system.batch_route())
    )
    for number in range(3):
        engine = ChunkedEngine(
            f'i-{number + 1}', fleet.record, lambda _id, n: b'word %d' % n
        )
        fleet.engines.append(engine)
        fleet.store.put('servers', engine.name, engine.entry())
    if not fleet.start(fronts=3, workers=1):
        return system.NOT_RUN
    headers = {'Transfer-Encoding': 'chunked'} if fleet.trouble else {}
    items = [
        system.item(f'{n:016x}', 250, 40, smuggling_body(), **headers)
        for n in range(ITEMS)
    ]
    if system.submit(fleet.fronts[0], JOB, items) != 202:
        # A job that is refused runs nothing.
        fleet.record('the job is refused')
    time.sleep(WAIT_S)
    runs = [run[1] for engine in fleet.engines for run in engine.runs]
    sent = {item['Id'] for item in items}
    unasked = [request_id for request_id in runs if request_id not in sent]
    fleet.record(
        f'{len(runs)} runs at engines, {len(unasked)} of ids that no client '
        f'sent: {sorted(set(unasked))}'
    )
    if not runs:
        return system.HELD if fleet.trouble else system.NOT_RUN
    return system.BROKEN if unasked else system.HELD


system.run_case(__file__, main)
