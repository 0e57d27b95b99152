"""A runner sends bytes that are no answer without end, and the whole relay stands still."""

import asyncio
import os
import subprocess
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand_ins import encode, read_head, run

TIMEOUT_MS = 3000  # `timeout_ms` of the route
LATE_MS = 500  # the rule's half second
MAX_FLOODS = 6  # to one relay, to bound the processes
HEAD = "HTTP/1.1 200 OK\r\nX-Carawayrun-Request-Id: {}\r\nX-Carawayrun-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"

# What the runner in trouble sends to each relay: its first bytes, and what follows without end.
FLOODS = {
    "edge-1": ("in a body", HEAD, "0"),
    "edge-2": ("in a head", "", "HTTP/1.1 100 Continue\r\n\r\n"),
}


# Sends until the caller closes; a process of its own, as it must not wait for the other stand-ins.
FLOOD = """
import select, socket, sys
connection = socket.socket(fileno=int(sys.argv[1]))
connection.send(sys.argv[2].encode())
data, at = memoryview(sys.argv[3].encode() * (1 << 18)), 0
while True:
    select.select([], [connection], [])
    try:
        at = (at + connection.send(data[at:])) % len(data)
    except BlockingIOError:
        pass
    except OSError:
        break
"""


def start_flood(relay, id, connection):
    _, first, unit = FLOODS[relay]
    command = [sys.executable, "-c", FLOOD, str(connection.fileno()), first.format(id), unit]
    return subprocess.Popen(command, pass_fds=[connection.fileno()])


async def case(world, trouble):
    await world.start_store()
    world.store.put("op", "config", world.config(5, timeout_ms=TIMEOUT_MS))
    flooded = []

    async def answer(runner, request, reader, writer, headers):
        """A runner in trouble: none of its answers to two of the relays ends."""
        id = request.get("x-carawayrun-request-id")
        relay = id.rsplit("-", 1)[0]
        if trouble and relay in FLOODS and flooded.count(relay) < MAX_FLOODS:
            flooded.append(relay)
            world.say(f"{runner.name} answers request {id} of {relay} with bytes without end, {FLOODS[relay][0]}")
            sender = start_flood(relay, id, writer.get_extra_info("socket"))
            world.children.append(sender)
            while sender.poll() is None:
                await asyncio.sleep(0.02)
            world.say(f"{relay} closes the connection of {id}: the flood {FLOODS[relay][0]} ends")
            return False
        await asyncio.sleep(runner.work)
        writer.write(encode(200, f"{runner.name} ran {id}\n".encode(), headers + [("X-Carawayrun-Response-Seal", "seal")]))
        return True

    for number in range(3):
        await world.runner(f"app-{number + 1}", "app", answer=answer if number == 0 else None)
    for relay in range(3):
        world.start_relay(relay)
    for relay in range(3):
        await world.until_ready(relay)

    calls = {f"edge-{relay + 1}": [] for relay in range(3)}
    for number in range(60):
        for relay in range(3):
            name = f"edge-{relay + 1}"
            call = world.call(relay, "GET", "/read/a", f"{name}-{number}", deadline_ms=6000, limit=5.0)
            calls[name].append(asyncio.ensure_future(call))
        await asyncio.sleep(0.1)
    broken = False
    for name, sent in calls.items():
        times = []
        for call in sent:
            status, _, _, took = await call
            times.append(took if status else None)
        waiting = [took for took in times if took is None or took > TIMEOUT_MS]
        late = [took for took in waiting if took is None or took > TIMEOUT_MS + LATE_MS]
        world.say(f"{name}: of {len(times)} requests {len(waiting)} had no answer at their route's timeout, {len(late)} of them none half a second later")
        broken |= len(late) > len(waiting) / 2
    for relay in range(3):
        world.say(f"edge-{relay + 1} answers a probe of its readiness: {await probe(world, relay)}")
    return broken


async def probe(world, relay):
    try:
        reader, writer = await asyncio.open_connection(world.relay_addr(relay), 7002)
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 2.0)
        return head.first
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return f"no ({type(error).__name__})"


run(case, FOLDER)
