"""Stand-in of one model engine, a process of its own.

It keeps to PROTOCOL.md and to LETTERS.md ("Parts of a prompt that crash engines"): it crashes, as a process does, as soon
as it begins to write an answer on a prompt that holds the deadly part, whatever else the request holds. Another process
starts it again after some seconds, as a new incarnation.
"""
import asyncio
import json
import os
import signal
import sys
import time

from standins import HEARTBEAT_MS, HOST, read_body, read_head

OWN = json.loads(sys.argv[1])
MODEL = "m0"
record = open(OWN["record"], "a")
state = {"sequence": 0, "orders": 0, "running": 0}


def note(text):
    record.write(f"{time.monotonic() - OWN['began']:9.3f} s  {text}\n")
    record.flush()


def entry():
    state["sequence"] += 1
    return {"service": OWN["service"], "address": f"{HOST}:{OWN['port']}", "zone": OWN["zone"], "version": "v1",
            "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": state["sequence"], "born": OWN["born"],
            "stage": "unified", "models": [{"name": MODEL, "version": 1, "adapters": []}]}


async def beat():
    host, port = OWN["store"].split(":")
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                text = json.dumps(entry()).encode()
                writer.write(b"POST /beat/%s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
                             % (OWN["id"].encode(), len(text)) + text)
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                await asyncio.sleep(HEARTBEAT_MS / 1000)
        except (OSError, asyncio.IncompleteReadError):
            if os.getppid() == 1:
                sys.exit(0)
            await asyncio.sleep(0.2)


def whole(status, lines, text=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in lines)
    return f"HTTP/1.1 {status} X\r\n{head}Content-Length: {len(text)}\r\n\r\n".encode() + text


async def connection(reader, writer):
    try:
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            target = line.split(" ")[1].split("?")[0]
            if target == "/report":
                text = {"stage": "unified", "state": "ready", "busy": False,
                        "models": [{"name": MODEL, "version": 1, "adapters": []}],
                        "sequence": state["orders"], "queued": 0, "running": state["running"], "kv_used": 0,
                        "kv_total": 99487, "handles": 0, "born": OWN["born"]}
                writer.write(whole(200, [], json.dumps(text).encode()))
            elif target == "/kv-list":
                text = {"boot_epoch": 1, "next_token": 1, "held": [], "born": OWN["born"]}
                writer.write(whole(200, [], json.dumps(text).encode()))
            elif not await request(reader, writer, headers, body):
                return
            await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


async def request(reader, writer, headers, body):
    name = headers.get("x-junctionbend-request-id", "")
    lines = [("X-Junctionbend-Request-Id", name)]
    if headers.get("x-junctionbend-expect-instance", OWN["id"]) != OWN["id"]:
        writer.write(whole(421, lines + [("X-Junctionbend-Instance-Id", OWN["id"])]))
        return True
    parts = [part.split(":")[0] for part in headers.get("x-junctionbend-prompt-prefix", "").split(",")]
    deadly = OWN["deadly"] in parts[:-1]
    note(f"engine {OWN['id']} runs {name}{', with the deadly part' if deadly else ''}")
    end = time.monotonic() + int(headers.get("x-junctionbend-deadline-ms", 4000)) / 1000
    state["running"] += 1
    lines += [("X-Junctionbend-Response-Signature", f"{OWN['id']}.{name}"), ("Content-Type", "text/event-stream"),
              ("X-Junctionbend-Weight-Versions", "1"), ("Transfer-Encoding", "chunked")]
    head = "HTTP/1.1 200 OK\r\n" + "".join(f"{key}: {value}\r\n" for key, value in lines) + "\r\n"
    gone = asyncio.create_task(reader.read(1))
    try:
        await asyncio.sleep(OWN["prefill_ms"] / 1000)
        if deadly:
            note(f"engine {OWN['id']} crashes")
            os.kill(os.getpid(), signal.SIGKILL)
        writer.write(head.encode())
        for number in range(1, OWN["events"] + 1):
            event = f"id: {number}\ndata: piece {number} for {name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if gone.done() or time.monotonic() > end:
                writer.transport.abort()
                return False
            await asyncio.sleep(OWN["pace_ms"] / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return not gone.done()
    finally:
        state["running"] -= 1
        if not gone.done():
            gone.cancel()
            try:
                await gone
            except asyncio.CancelledError:
                pass


async def main():
    OWN["born"] = int(time.time() * 1000)
    await asyncio.start_server(connection, HOST, OWN["port"], limit=1 << 20)
    await beat()


asyncio.run(main())
