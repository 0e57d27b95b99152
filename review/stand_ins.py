"""Stand-ins for the platform, the runners and the clients, for the scripts of this folder.

Everything listens on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "carawayrun")
HEARTBEAT = 1.2  # `heartbeat_ms`
HISTORY = 20.0  # `history_s`
RELAYS = 8  # most relays of a world
KEY = "key-one"


def now_ms():
    return int(time.time() * 1000)


# ---------------------------------------------------------------- HTTP


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Next chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, head):
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    return await reader.readexactly(int(head.get("content-length", "0")))


async def read_message(reader):
    head = await read_head(reader)
    head.body = await read_body(reader, head)
    return head


def encode(status, body=b"", headers=()):
    reason = {200: "OK", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
              500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: rows, transactions, a feed with 20 s of history, eras."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []  # (time, row)
        self.version = 0
        self.dropped = 0  # newest version that the history no longer holds
        self.era = 0
        self.down = False
        self.started = time.monotonic()
        self.changed = asyncio.Event()
        self.served = []  # (ms, caller, table, key, what)

    async def listen(self, host, port, caller):
        """Serves one caller at an address of its own, which tells callers apart."""
        await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, caller), host, port)

    def put(self, table, key, value):
        self.version += 1
        self.apply(table, key, value, self.version)
        self.wake()
        return self.version

    def delete(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        self.history.append((time.monotonic(), dict(table=table, part="", key=key, ver=self.version, deleted=True)))
        self.wake()

    def apply(self, table, key, value, version):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = dict(table=table, part="", key=key, value=base64.b64encode(text).decode(), ver=version)
        self.rows[(table, key)] = row
        self.history.append((time.monotonic(), row))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self):
        until = time.monotonic() - HISTORY
        while self.history and self.history[0][0] < until:
            self.dropped = max(self.dropped, self.history.pop(0)[1]["ver"])

    def value(self, table, key):
        row = self.rows.get((table, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def copy(self):
        return dict(rows={key: dict(row) for key, row in self.rows.items()}, history=list(self.history),
                    version=self.version, dropped=self.dropped)

    def restore(self, copy):
        """Comes back from a copy, as in a drill."""
        self.rows, self.history = dict(copy["rows"]), list(copy["history"])
        self.version, self.dropped = copy["version"], copy["dropped"]
        self.era += 1
        self.wake()

    def page(self, rows):
        return dict(rows=rows, has_more=False, ver=self.version,
                    now_ms=int((time.monotonic() - self.started) * 1000))

    async def serve(self, reader, writer, caller):
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.answer(caller, request)
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(encode(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, caller, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        if self.down:
            return 503, {}
        if path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        if path == "/v1/rows-get":
            table, start = fields.get("table"), fields.get("from", "")
            rows = [row for (name, key), row in sorted(self.rows.items()) if name == table and key >= start]
            self.served.append((now_ms(), caller, table, [row["key"] for row in rows], "all"))
            return 200, self.page(rows)
        if path == "/v1/rows-feed":
            return await self.feed(caller, fields)
        return 404, {}

    async def feed(self, caller, fields):
        table, after = fields["table"], int(fields["after"])
        era = self.era
        until = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
        while True:
            self.trim()
            if self.down:
                return 503, {}
            if after < self.dropped or after > self.version or era != self.era:
                return 410, {}
            rows = [row for _, row in self.history if row["table"] == table and row["ver"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                for row in rows:
                    what = "deleted" if row.get("deleted") else "put"
                    self.served.append((now_ms(), caller, table, row["key"], what))
                return 200, self.page(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for wanted in body.get("expected_rev", []):
            row = self.rows.get((wanted["table"], wanted["key"]))
            if (row["ver"] if row else 0) != wanted["ver"]:
                keys = [(other["table"], other["key"]) for other in body["expected_rev"]]
                return 412, self.page([self.rows[key] for key in keys if key in self.rows])
        self.version += 1
        for put in body.get("puts", []):
            self.apply(put["table"], put["key"], base64.b64decode(put["value"]), self.version)
        self.wake()
        return 200, self.page([])


# ---------------------------------------------------------------- runners


class Runner:
    """A runner of a service: registers itself, answers, and says when it leaves."""

    def __init__(self, world, name, service, host, **more):
        self.world, self.name, self.service, self.host = world, name, service, host
        self.leaving = False
        self.state = "ready"
        self.beating = True
        self.sequence = 0
        self.work = more.get("work", 0.015)
        self.version = more.get("version", "v1")
        self.answer = more.get("answer")  # coroutine that answers instead
        self.born = now_ms()
        self.arrivals = []  # (ms, id, status)
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, 7000)
        self.beats = asyncio.ensure_future(self.beat())

    def registration(self):
        self.sequence += 1
        return dict(service=self.service, address=f"{self.host}:7000", zone="a", version=self.version,
                    batch_slots=8, state=self.state, warmup_left_ms=0, sequence=self.sequence, born=self.born)

    def leaving_header(self):
        return [("Server-Leaving", "1")] if self.leaving else []

    async def beat(self, pause=0.2):
        await asyncio.sleep(random.random() * pause)
        while self.beating:
            if not self.world.store.down:
                self.write_row()
            await asyncio.sleep(HEARTBEAT)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                id = request.get("x-carawayrun-request-id", "")
                headers = [("X-Carawayrun-Request-Id", id), ("X-Carawayrun-Instance-Id", self.name)]
                if request.get("x-carawayrun-expect-instance") not in (None, self.name):
                    self.arrivals.append((now_ms(), id, 421))
                    writer.write(encode(421, b"", headers[1:] + self.leaving_header()))
                    continue
                self.arrivals.append((now_ms(), id, 200))
                if self.answer:
                    if not await self.answer(self, request, reader, writer, headers):
                        return
                    continue
                await asyncio.sleep(self.work)
                headers += [("X-Carawayrun-Response-Seal", "seal")] + self.leaving_header()
                writer.write(encode(200, f"{self.name} ran {id}\n".encode(), headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write_row(self):
        self.world.store.put("servers", self.name, self.registration())
        self.world.beats[self.name] = time.monotonic()

    async def start_again(self):
        """Starts again under its id, at its address: a new process that knows nothing of before."""
        self.leaving, self.state, self.beating = False, "ready", True
        self.sequence, self.born = 0, now_ms()
        self.server = await asyncio.start_server(self.serve, self.host, 7000)
        self.beats = asyncio.ensure_future(self.beat(0))

    def exit(self):
        """Ends as a process does: its port refuses, its connections close."""
        self.beating = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---------------------------------------------------------------- world


class World:
    """A small deployment on loopback addresses: the store, runners and relays."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.log = open(os.path.join(folder, "record.txt"), "w")
        self.net = self.free_net()
        self.begun = time.monotonic()
        self.store = Store(self)
        self.beats = {}
        self.runners = []
        self.relays = {}
        self.children = []  # other processes

    @staticmethod
    def free_net():
        for _ in range(100):
            net = f"127.{random.randint(20, 90)}.{random.randint(1, 250)}"
            try:
                for host, port in ((1, 7000), (2, 7001), (3, 7001), (2, 9464), (10, 7000)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def say(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} s  {text}"
        print(line, file=self.log, flush=True)

    async def start_store(self):
        for index in range(RELAYS):
            await self.store.listen(f"{self.net}.1", 7000 + index, f"edge-{index + 1}")
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        """Removes entries after three heartbeats of silence, as the platform does."""
        while True:
            await asyncio.sleep(0.1)
            if self.store.down:
                continue
            for (table, key) in list(self.store.rows):
                silent = time.monotonic() - self.beats.get(key, time.monotonic())
                if table == "servers" and silent > 3 * HEARTBEAT:
                    self.say(f"the platform removes the entry of {key} after three silent heartbeats")
                    self.store.delete("servers", key)

    async def runner(self, name, service, **more):
        runner = Runner(self, name, service, f"{self.net}.{10 + len(self.runners)}", **more)
        self.runners.append(runner)
        await runner.listen()
        return runner

    def relay_addr(self, index):
        return f"{self.net}.{2 + index}"

    def settings(self, index):
        ip = self.relay_addr(index)
        return f"""node_name = "edge-{index + 1}"
role = "relay"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "a"
region = "a"
port_range = [7340, 7355]
heartbeat_ms = 1200
[listen]
frontend = "{ip}:7001"
readiness = "{ip}:7002"
admin = "{ip}:7003"
[limits]
cpu_quota = 0.19
cores = 1
memory_mb = 110
max_fds = 4100
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.9
retry_window_s = 10
retry_slack = 58
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
recovery_s = 12
session_s = 5
[platform]
address = "{self.net}.1:{7000 + index}"
form = "table"
"""

    def start_relay(self, index):
        path = os.path.join(self.temp, f"node-{index}.toml")
        with open(path, "w") as file:
            file.write(self.settings(index))
        out = open(os.path.join(self.temp, f"relay-{index}.log"), "a")
        command = [PROGRAM, "--log-output", "stdout", "--log-format", "json", "relay"]
        env = {"PATH": os.environ.get("PATH", ""), "CARAWAYRUN_SETTINGS": path,
               "MIMALLOC_PURGE_DELAY": "0", "MIMALLOC_ARENA_EAGER_COMMIT": "0",
               "MIMALLOC_EAGER_COMMIT": "0", "MIMALLOC_EAGER_COMMIT_DELAY": "4"}
        self.relays[index] = subprocess.Popen(command, cwd=ROOT, env=env, stdout=out, stderr=out)
        self.say(f"relay edge-{index + 1} started at {self.relay_addr(index)}")

    def relay_log(self, index):
        with open(os.path.join(self.temp, f"relay-{index}.log")) as file:
            return file.read()

    async def until_ready(self, index, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.relay_addr(index), 7002)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if " 200 " in head.first:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"relay {index} did not get ready")

    def config(self, version, **more):
        route = lambda name, kind: dict(
            name=name, hostname="shop.example", prefix=f"/{name}/", route_type=kind, timeout_ms=more.get("timeout_ms", 4000),
            objective_ms=more.get("objective_ms", 500), priority=1, service="app", max_attempts=3, public=False, stream_resume=more.get("stream_resume", True), gap_target_ms=800)
        return dict(
            version=version,
            routes=[route("read", "safe"), route("switch", "unsafe"), route("stream", "streaming")],
            services=[dict(name="app", health_path="/healthz", max_connections=110, protocol="h1", tls=False)],
            limits=dict(max_header_bytes=16384, max_body_bytes=4194304, header_timeout_ms=3000,
                        idle_timeout_ms=more.get("idle_timeout_ms", 15000)),
            tenants=[dict(name="shops", api_keys=more.get("keys", [KEY]), priority=1)])

    def request(self, method, path, id, body=b"", key=KEY, deadline_ms=4000, more=()):
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Carawayrun-Request-Id: {id}",
                 f"X-Carawayrun-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
        lines += [f"{name}: {value}" for name, value in more]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def call(self, index, method, path, id, **more):
        """One request of a client on a connection of its own; returns status, body, head and milliseconds."""
        limit = more.pop("limit", 8.0)
        begun = now_ms()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.relay_addr(index), 7001), 1.0)
            writer.write(self.request(method, path, id, **more))
            head = await asyncio.wait_for(read_message(reader), limit)
            writer.close()
            status, body = int(head.first.split(" ")[1]), head.body
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            status, body, head = None, repr(error).encode(), None
        took = now_ms() - begun
        self.say(f"client: {method} {path} id {id} by edge-{index + 1}: {status} {body[:60]!r} after {took} ms")
        return status, body, head, took

    async def close(self):
        for relay in self.relays.values():
            if relay.poll() is None:
                relay.send_signal(signal.SIGCONT)
                relay.kill()
        for child in self.children:
            if child.poll() is None:
                child.kill()
        for process in [*self.relays.values(), *self.children]:
            process.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be tried."""


def run(case, folder):
    """Runs `case(world, trouble)`, which returns True if the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("the program of the deploy file is not built")
        sys.exit(2)

    async def main():
        world = World(folder)
        try:
            world.say(f"TROUBLE={int(trouble)}")
            broken = await asyncio.wait_for(case(world, trouble), 110)
            world.say("RULE BROKEN" if broken else "rule held")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.say(f"could not run: {error!r}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                for index in world.relays:
                    shutil.copy(os.path.join(world.temp, f"relay-{index}.log"), os.environ["KEEP_LOGS"])
            await world.close()

    code = asyncio.run(main())
    print({0: "rule held", 1: "RULE BROKEN", 2: "could not run"}[code])
    sys.exit(code)
