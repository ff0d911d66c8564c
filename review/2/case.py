"""The last engine of a software version leaves, then all boxes are killed at once, and clients take up their streams.

Three boxes, nine model engines: eight of version v2 and one of v1, the rest of a release. The v1 engine is taken away
while it runs streams: its entry goes without a word, and it serves on. Then all processes of the system are killed and
started again. Each client takes its stream up once, within its deadline: `Last-Event-Id`, `Resumes`, an id of its own.
"""

import asyncio
import os
import re
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import ask, now, run  # noqa: E402

STREAMS, EVENTS, PAUSE_MS, DEADLINE = 60, 40, 150, 12.0
# A client takes a broken stream up once, as long after the break as boxes take to come back.
RETRY_AFTER = 2.0


async def main(world):
    record = world.record
    await world.start_store()
    old = world.engine("m-old", "models", software="v1")
    for n in range(1, 9):
        world.engine(f"m{n}", "models", "hall-a" if n % 2 else "hall-b", software="v2")
    boxes = await world.start_boxes(["hall-a", "hall-b", "hall-a"])
    mixed = []

    async def stream(number):
        began, tries, last, first, versions, events = time.monotonic(), 0, 0, None, set(), []
        while (left := DEADLINE - (time.monotonic() - began)) > 0.2 and tries < 2:
            tries += 1
            id, box = f"s{number}-try{tries}", boxes[(number + tries) % len(boxes)]
            # Prompts of ten families, so that they spread over the engines.
            headers = [("X-Junctionbend-Model", "model-a"), ("X-Junctionbend-Token-Usage", "826,60"),
                       ("X-Junctionbend-Prompt-Prefix", f"5c1e0{number % 10:03x}:119,91bd{number:04x}:79,e440{number:04x}:628")]
            if first:
                headers += [("Last-Event-Id", last), ("Resumes", first)]
            got = await ask(box, "POST", f"/resume/events/{EVENTS}/{PAUSE_MS}", id, headers=headers, body=b"x" * 600,
                            deadline_ms=left * 1000, timeout=left)
            pieces = re.findall(r"id: (\d+)\ndata: piece \d+ of \S+ by (\S+)\n\n", got.body.decode("latin-1"))
            if pieces:
                first, last = first or id, int(pieces[-1][0])
                events += [int(at) for at, _ in pieces]
                versions |= {v for _, v in pieces}
            if first and (tries > 1 or not got.complete):
                record(f"client: {id} at {box.name}: {got.status or got.why}, events {pieces[0][0] if pieces else '-'} to "
                       f"{pieces[-1][0] if pieces else '-'} by {sorted({v for _, v in pieces})}, complete {got.complete}")
            if got.status == 200 and got.complete:
                break
            await asyncio.sleep(RETRY_AFTER)
        if len(versions) > 1:
            mixed.append(number)
            record(f"client: stream {number} holds events of {sorted(versions)}")
        return events == list(range(1, EVENTS + 1)), versions

    streams = [asyncio.ensure_future(stream(n)) for n in range(STREAMS)]
    await asyncio.sleep(2.0)
    record(f"{len(old.lines)} streams run at m-old (v1)")
    old.leave_silently()
    await asyncio.sleep(0.8)
    if world.trouble:
        record("all boxes are killed (SIGKILL)")
        for box in boxes:
            box.signal(signal.SIGKILL)
        for box in boxes:
            box.process.wait()
        await asyncio.sleep(0.6)
        record("all boxes start again")
        for box in boxes:
            box.start(bootstrap=False)
            world.processes.append(box.process)
    done = await asyncio.gather(*streams)
    record(f"{sum(whole for whole, _ in done)} of {STREAMS} streams whole, {len(mixed)} hold events of two versions: {mixed}")
    return len(mixed) <= 2


run(main)
