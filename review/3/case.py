"""All boxes are killed at once while a service has two software versions, and clients take up their streams.

Three boxes, nine model engines: five of version v2, four of v1; all of them serve on. All processes of the system are
killed and started again. Each client takes its stream up once, within its deadline, 3.75 s after the break, when the
boxes are in touch again. Others begin new streams at that time. Without the disruption the clients close their
connections themselves, and take their streams up in the same way.
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
BREAK, DOWN, CONTACT = 2.0, 0.6, 3.0
# After the break: one further attempt, as the sheet says, when the boxes are in touch again.
RETRIES = (DOWN + CONTACT + 0.15,)


async def main(world):
    record = world.record
    await world.start_store()
    for n in range(1, 10):
        world.engine(f"m{n}", "models", "hall-a" if n % 2 else "hall-b", software="v2" if n % 2 else "v1")
    boxes = await world.start_boxes(["hall-a", "hall-b", "hall-a"])
    in_touch_from = [0.0]
    taken_up, went_on, begun, began_new, mixed = set(), set(), set(), set(), set()

    def headers(number):
        # Prompts of ten families, so that they spread over the engines.
        return [("X-Junctionbend-Model", "model-a"), ("X-Junctionbend-Token-Usage", "826,60"),
                ("X-Junctionbend-Prompt-Prefix", f"5c1e0{number % 10:03x}:119,91bd{number:04x}:79,e440{number:04x}:628")]

    async def attempt(number, id, box, extra, left, stay=None):
        got = await ask(box, "POST", f"/resume/events/{EVENTS}/{PAUSE_MS}", id, headers=headers(number) + extra,
                        body=b"x" * 600, deadline_ms=left * 1000, timeout=stay or left)
        return got, re.findall(r"id: (\d+)\ndata: piece \d+ of \S+ by (\S+)\n\n", got.body.decode("latin-1"))

    async def stream(number):
        began, first = time.monotonic(), f"s{number}-try1"
        got, pieces = await attempt(number, first, boxes[number % 3], [], DEADLINE,
                                    None if world.trouble else BREAK)
        broken, last, versions = time.monotonic(), int(pieces[-1][0]) if pieces else 0, {v for _, v in pieces}
        for tries, wait in enumerate(RETRIES, 2):
            if got.status == 200 and got.complete or not pieces:
                break
            await asyncio.sleep(max(0.0, broken + wait - time.monotonic()))
            id, box, at = f"s{number}-try{tries}", boxes[(number + tries) % 3], now()
            if at >= in_touch_from[0]:
                taken_up.add(number)
            got, more = await attempt(number, id, box, [("Last-Event-Id", last), ("Resumes", first)],
                                      DEADLINE - (time.monotonic() - began))
            record(f"client: {id} at {box.name}, sent at {at:.3f}{' (in touch)' if at >= in_touch_from[0] else ''}: {got}, "
                   f"events {more[0][0] if more else '-'} to {more[-1][0] if more else '-'}")
            versions |= {v for _, v in more}
            if more and at >= in_touch_from[0]:
                went_on.add(number)
            last = int(more[-1][0]) if more else last
        if len(versions) > 1:
            mixed.add(number)

    async def new(number):
        begun.add(number)
        got, pieces = await attempt(1000 + number, f"new{number}", boxes[number % 3], [], DEADLINE)
        record(f"client: new{number}: {got}")
        if pieces:
            began_new.add(number)

    streams = [asyncio.ensure_future(stream(n)) for n in range(STREAMS)]
    await asyncio.sleep(BREAK)
    if world.trouble:
        record("all boxes are killed (SIGKILL)")
        for box in boxes:
            box.signal(signal.SIGKILL)
        for box in boxes:
            box.process.wait()
        await asyncio.sleep(DOWN)
        record("all boxes start again")
        for box in boxes:
            box.start(bootstrap=False)
            world.processes.append(box.process)
        in_touch_from[0] = now() + CONTACT
    await asyncio.sleep(CONTACT + 0.1)
    record("the boxes are in touch again")
    fresh = [asyncio.ensure_future(new(n)) for n in range(30)]
    await asyncio.gather(*streams, *fresh)
    record(f"new streams: {len(began_new)} of {len(begun)} begin; taken up at boxes in touch: {len(went_on)} of "
           f"{len(taken_up)} go on; of two versions: {len(mixed)}")
    assert len(taken_up) >= 12, "too few streams were taken up for the rule to count"
    return len(went_on) / len(taken_up) >= 0.5 * len(began_new) / len(begun)


run(main)
