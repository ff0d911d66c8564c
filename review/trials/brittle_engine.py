"""A brittle engine: `brittle_engine.py ID SERVICE PORT ...`. Six slots, a queue of 24.

Told `brittle`, it says so in all its answers. Three seconds later only one request may wait, and it ends once it has
turned more than LIMIT requests away in a second.
"""

import asyncio
import json
import os
import signal
import sys
import time

from standins import head, read_body, read_head

ID, SLOTS, LIMIT, WORK, CONTACT = sys.argv[1], 6, 2, 0.08, 3.0
brittle_since, running, waiting, rejected = None, 0, 0, []
slots = asyncio.Semaphore(SLOTS)


def say(text):
    print(text, flush=True)


async def answer(writer, path, headers):
    global running, waiting
    signals = [("Server-Brittle", LIMIT)] if brittle_since else []
    if path == "/report":
        text = json.dumps({"stage": "unified", "models": [], "busy": False, "sequence": 0, "queued": waiting,
                           "running": running, "kv_used": 0, "kv_total": 0, "handles": 0}).encode()
        writer.write(head(200, [*signals, ("Content-Length", len(text))]) + text)
        return
    own = [("X-Junctionbend-Request-Id", headers.get("x-junctionbend-request-id", "")), *signals]
    if headers.get("x-junctionbend-expect-instance") != ID:
        writer.write(head(421, [*own, ("X-Junctionbend-Instance-Id", ID), ("Content-Length", 0)]))
        return
    now = time.monotonic()
    is_short = brittle_since is not None and now > brittle_since + CONTACT
    if running >= SLOTS and waiting >= (1 if is_short else 24):
        rejected.append((now, headers.get("x-from", "")))
        last = [sender for at, sender in rejected if at > now - 1]
        say(f"rejects a request of {last[-1]}")
        if is_short and len(last) > LIMIT:
            say(f"falls {','.join(last)}")
            os.kill(os.getpid(), signal.SIGKILL)
        writer.write(head(503, [*own, ("X-Junctionbend-Not-Executed", "1"), ("Content-Length", 0)]))
        return
    waiting += 1
    await slots.acquire()
    waiting, running = waiting - 1, running + 1
    try:
        await asyncio.sleep(WORK)
        writer.write(head(200, [*own, ("X-Junctionbend-Response-Signature", f"sig.{ID}"), ("Content-Length", 2)]) + b"ok")
    finally:
        running -= 1
        slots.release()


async def connection(reader, writer):
    try:
        while (got := await read_head(reader)) is not None:
            await read_body(reader, got[1])
            await answer(writer, got[0].split(" ")[1], got[1])
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    global brittle_since
    server = await asyncio.start_server(connection, "127.0.0.1", int(sys.argv[3]))
    say(server.sockets[0].getsockname()[1])
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        if line.strip() == b"brittle":
            brittle_since = time.monotonic()


asyncio.run(main())
