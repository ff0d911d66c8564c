"""An engine as a process of its own: `engine.py ID SERVICE PORT SOFTWARE`. Says its port, then what it does.

The rest of a request's path says how the stand-in answers: /.../plain, /.../unframed/BYTES/MS,
/.../events/N/MS, /.../unframed-events/N/MS, /.../status/CODE.
"""

import asyncio
import sys

from standins import head, read_body, read_head

ID, SERVICE, SOFTWARE = sys.argv[1], sys.argv[2], sys.argv[4]
leaving = False
# Whether the engine may answer without a length; others frame the same answers.
unframed = False


def say(text):
    print(text, flush=True)


def own(headers):
    lines = [("X-Junctionbend-Request-Id", headers.get("x-junctionbend-request-id", "")),
             ("X-Junctionbend-Response-Signature", f"sig.{ID}")]
    return lines + ([("Server-Leaving", "1")] if leaving else [])


async def answer(writer, method, path, headers, body):
    """Answers one request; returns whether the connection stays open."""
    id = headers.get("x-junctionbend-request-id", "")
    if path == "/report":
        import json
        text = json.dumps({"stage": "unified", "models": [{"name": "model-a", "version": 1, "adapters": []}],
                           "busy": False, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 99487,
                           "handles": 0, "state": "draining" if leaving else "ready"}).encode()
        writer.write(head(200, [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
        return True
    if path == "/kv-list":
        text = b'{"boot_epoch":1,"next_token":1,"held":[]}'
        writer.write(head(200, [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
        return True
    if path == "/health":
        writer.write(head(503 if leaving else 200, [("X-Junctionbend-Instance-Id", ID), ("Content-Length", 0)]))
        return True
    if headers.get("x-junctionbend-expect-instance", ID) != ID:
        writer.write(head(421, [*own(headers)[:1], ("X-Junctionbend-Instance-Id", ID), ("Content-Length", 0)]))
        return True
    if headers.get("x-junctionbend-expect-version", "1") != "1":
        writer.write(head(421, [*own(headers)[:1], ("Content-Length", 0)]))
        return True
    say(f"runs {id} ({method} {path})")
    after = int(headers.get("last-event-id", "0"))
    words = path.split("/")[2:]
    if words[0] == "status":
        text = b"failed"
        writer.write(head(words[1], [*own(headers), ("Content-Length", len(text))]) + text)
        return True
    if words[0] == "unframed":
        count, pause = int(words[1]), int(words[2]) / 1000
        length = [] if unframed else [("Content-Length", count // 10 * 10)]
        say(f"answers {id} {'without a length' if unframed else 'with a length'}")
        writer.write(head(200, own(headers) + length))
        for at in range(10):
            writer.write(b"%d" % at * (count // 10))
            await writer.drain()
            await asyncio.sleep(pause)
        say(f"ends {id}: whole answer of {count // 10 * 10} bytes")
        return not unframed
    if words[0] in ("events", "unframed-events"):
        count, pause = int(words[1]), int(words[2]) / 1000
        framed = words[0] == "events" or not unframed
        if words[0] == "unframed-events":
            say(f"answers {id} {'in chunks' if framed else 'without a length'}")
        lines = [*own(headers), ("Content-Type", "text/event-stream"), ("X-Junctionbend-Weight-Versions", "1")]
        writer.write(head(200, lines + ([("Transfer-Encoding", "chunked")] if framed else [])))
        for at in range(after + 1, count + 1):
            event = f"id: {at}\ndata: piece {at} of {ID} by {SOFTWARE}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
            await writer.drain()
            await asyncio.sleep(pause)
        if framed:
            writer.write(b"0\r\n\r\n")
        say(f"ends {id}: last event {count}")
        return framed
    text = f"done {id} at {ID}".encode()
    writer.write(head(200, [*own(headers), ("Content-Length", len(text))]) + text)
    say(f"ends {id}")
    return True


async def connection(reader, writer):
    try:
        while True:
            got = await read_head(reader)
            if got is None:
                break
            method, path, _ = got[0].split(" ")
            body = await read_body(reader, got[1])
            if not await answer(writer, method, path, got[1], body):
                break
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    global leaving, unframed
    server = await asyncio.start_server(connection, "127.0.0.1", int(sys.argv[3]))
    say(server.sockets[0].getsockname()[1])
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        if line.strip() == b"leaving":
            leaving = True
        if line.strip() == b"unframed":
            unframed = True


if __name__ == "__main__":
    asyncio.run(main())
