"""Prompts of many parts, one of which crashes each engine that begins to write an answer on it."""
import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
import traceback

from standins import HOST, Box, EngineProcess, Record, Store, end_all, read_head, wait_ready

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTS = int(os.environ.get("PARTS", "20"))  # parts of a prompt; the deadly one is the third from the end
HALLS = ["hall-a"] * 3 + ["hall-b"] * 2 + ["hall-c"] * 2 + ["hall-d"] * 2  # nine engines, as at larkspur-junction
BOXES = ["hall-a", "hall-b", "hall-c", "hall-d"]
DEADLY = "deadbeef"
SECONDS, DEADLY_EACH_S, BACK_S = 45.0, 0.7, 3.0
CALLERS = 24
CONTACT_S = 3.0

CONFIG = {
    "version": 1,
    "routes": [{"name": "guestlist-check", "host": "jepu9.example", "path_prefix": "/check/", "kind": "stream",
                "timeout_ms": 4000, "target_latency_ms": 600, "gap_aim_ms": 500, "priority": 1,
                "service": "quill-models", "max_attempts": 1, "public": False, "sticky": True, "resumable": False}],
    "services": [{"name": "quill-models", "health_path": "/health", "max_connections": 370, "protocol": "h1",
                  "tls": False, "engine": {"slots": 64, "kv_capacity_tokens": 99487, "kv_token_bytes": 18432,
                                           "link_mbps": 550000, "models": [{"name": "m0"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
               "idle_timeout_ms": 30000},
    "tenants": [{"name": "host", "api_keys": ["key-1"], "priority": 1, "isolated": False}],
}


def prompt(number, is_deadly):
    """The parts of a conversation: all but the deadly one and the last stand in sound prompts, too."""
    parts = [f"{0x1000 + at:x}:100" for at in range(PARTS - 1)] + [f"{0x100000 + number:x}:40"]
    if is_deadly:
        parts[PARTS - 3] = f"{DEADLY}:100"
    return ",".join(parts)


async def ask(box, number, is_deadly, record):
    """Sends one request; returns how it ended."""
    name = f"{number:08x}{os.urandom(4).hex()}"
    body = os.urandom(64)
    head = (f"POST /check/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Junctionbend-Request-Id: {name}\r\n"
            f"X-Junctionbend-Model: m0\r\nX-Junctionbend-Token-Usage: {100 * PARTS},9\r\n"
            f"X-Junctionbend-Prompt-Prefix: {prompt(number, is_deadly)}\r\n"
            f"X-Junctionbend-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nContent-Length: {len(body)}\r\n\r\n")
    record.note(f"request {name} sent to {box.name}{', with the deadly part' if is_deadly else ''}")
    reader, writer = await asyncio.open_connection(HOST, box.front)
    finding = "broken"
    try:
        writer.write(head.encode() + body)
        line, headers = await asyncio.wait_for(read_head(reader), 5)
        finding = line.split(" ")[1]
        if finding == "200":
            finding = "broken"
            while True:
                size = int(await asyncio.wait_for(reader.readline(), 5) or b"x", 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    finding = "complete"
                    break
        elif "content-length" in headers:
            await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()
    record.note(f"request {name} ends: {finding}")
    return finding


async def caller(number, boxes, until, record, findings):
    await asyncio.sleep(number / CALLERS)
    count = 0
    while time.monotonic() < until:
        finding = await ask(boxes[(number + count) % len(boxes)], number * 10000 + count, False, record)
        findings[finding] = findings.get(finding, 0) + 1
        count += 1
        await asyncio.sleep(0.2)


async def deadly_caller(boxes, until, record, findings):
    count, open_requests = 0, []
    while time.monotonic() < until:
        count += 1
        open_requests.append(asyncio.create_task(ask(boxes[count % len(boxes)], 1000000 + count, True, record)))
        await asyncio.sleep(DEADLY_EACH_S)
    for request in open_requests:
        finding = await request
        findings[finding] = findings.get(finding, 0) + 1


async def keep_engines(engines, start):
    """Starts each engine that has crashed again after some seconds."""
    back = {}
    while True:
        for at, engine in enumerate(engines):
            if engine.process.poll() is not None and time.monotonic() >= back.setdefault(engine, time.monotonic() + BACK_S):
                engines[at] = start(engine.zone)
        await asyncio.sleep(0.05)


def judge(path):
    """Counts the requests with the deadly part that engines ran later than `contact_ms` after the fifth crash."""
    crashes, late = [], 0
    for line in open(path):
        at = float(line.split(" s ")[0])
        if line.rstrip().endswith(" crashes"):
            crashes.append(at)
        elif " runs " in line and "deadly" in line and len(crashes) >= 5 and at > crashes[4] + CONTACT_S:
            late += 1
    return len(crashes), late


async def main():
    record, engines, boxes = Record(), [], []
    folder = tempfile.mkdtemp(prefix="junctionbend-case-")
    try:
        store = await Store().start()
        store.put("op/config", CONFIG)
        store.put("op/version/m0", {"model": "m0", "version": 1})
        options = {"pace_ms": 60, "prefill_ms": 60, "events": 9, "deadly": DEADLY}
        numbers = iter(range(10000))

        def start(zone):
            return EngineProcess(next(numbers), "quill-models", zone, store.address, record, options)

        engines = [start(zone) for zone in HALLS]
        boxes = [Box(n, zone, folder, store.address) for n, zone in enumerate(BOXES)]
        for box in boxes:
            box.start()
        if not await wait_ready(boxes):
            record.note("the boxes did not become ready")
            return 2
        await asyncio.sleep(4)
        findings, deadly = {}, {}
        until = time.monotonic() + SECONDS
        keeper = asyncio.create_task(keep_engines(engines, start))
        tasks = [asyncio.create_task(caller(n, boxes, until, record, findings)) for n in range(CALLERS)]
        if TROUBLE:
            tasks.append(asyncio.create_task(deadly_caller(boxes, until, record, deadly)))
        await asyncio.gather(*tasks)
        keeper.cancel()
        crashes, late = judge(record.path)
        text = (f"findings: sound {findings}, deadly {deadly}, {crashes} crashes, {late} requests with the deadly part "
                f"at engines later than {CONTACT_S} s after the fifth")
        record.note(text)
        print(text)
        if findings.get("complete", 0) < 10 * CALLERS:
            return 2
        return 1 if late > 3 else 0
    finally:
        end_all([engine.process for engine in engines] + [box.process for box in boxes])
        shutil.rmtree(folder, ignore_errors=True)


try:
    code = asyncio.run(main())
except Exception:
    traceback.print_exc()
    code = 2
sys.exit(code)
