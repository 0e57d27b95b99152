"""Clients pause while they read, around a planned stop of the machine that serves them."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import *  # noqa: E402,F403

CLIENTS = 8
# Time for which a slow client doesn't read, in seconds; the deadline is that of the sheet.
PAUSE = 3.5
DEADLINE_MS = 25000
# Within the largest stream of the sheet: 140 events of 420 bytes.
EVENTS, EVENT_BYTES = 120, 400
# Time from one event to the next, in seconds.
STEP = 0.005
# What a client's system takes for it: its window.
WINDOW_BYTES = 16 * 1024
MODEL = "X-Carawayrun-Model: daka510000\r\nX-Carawayrun-Token-Count: 1460,960\r\n"


def event(number):
    text = b"id: %d\ndata: " % number
    return text + b"t" * (EVENT_BYTES - len(text) - 2) + b"\n\n"


async def play(record, scratch, relays):
    loop = asyncio.get_running_loop()
    store = Store(free_ip())
    await store.start()
    known = route("case-match", "/match/", "reader", "streaming", DEADLINE_MS, 2500, session_affinity=True,
                  stream_resume=True, gap_target_ms=1500)
    await store.put("op", "config", config(5, [known], [service("reader", True)]))
    done = {}

    class Engine(Runner):
        async def answer(self, line, fields, body, reader, writer):
            name = fields["x-carawayrun-request-id"]
            after = int(fields.get("last-event-id", "0"))
            last = EVENTS if name.startswith("big") else 1
            writer.write(self.head(fields, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
            for number in range(after + 1, last + 1):
                text = event(number)
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(STEP)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            done[name] = time.monotonic()
            self.record.say("%s ran %s to its end" % (self.name, name))
            return True

    for number in range(3):
        await Engine(store, record, "i-%d" % number, "reader").start()
    relay = Relay(store)
    relay.start(scratch)
    relays.append(relay)
    await relay.until_ready()

    async def receive(client, pause):
        """Reads the first event, pauses, and reads on; returns the bytes that came, and how the answer ended."""
        text = b""
        while not text.endswith(b"\r\n0\r\n\r\n"):
            try:
                piece = await asyncio.wait_for(loop.sock_recv(client, 1024 if pause else 65536), DEADLINE_MS / 1000)
            except OSError as error:
                return text, "cut: %s" % error.strerror
            except asyncio.TimeoutError:
                return text, "no more within the deadline"
            if not piece:
                return text, "cut: closed"
            text += piece
            await asyncio.sleep(pause)
            pause = 0
        return text, "whole"

    clients = []
    for number in range(CLIENTS):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        client.setblocking(False)
        await loop.sock_connect(client, (relay.ip, relay.port))
        await loop.sock_sendall(client, request("POST", "/match/a", "small-%d" % number, DEADLINE_MS, MODEL, b"p" * 600))
        await receive(client, 0)
        clients.append(client)
    record.say("%d connections are kept" % len(clients))

    async def play_client(number):
        name = "big-%d" % number
        await loop.sock_sendall(clients[number], request("POST", "/match/a", name, DEADLINE_MS, MODEL, b"p" * 6000))
        begun = time.monotonic()
        text, end = await receive(clients[number], PAUSE if TROUBLE else 0)
        record.say("client %s got %s, %d of %d events, %s, %.1f s after its request"
                   % (name, text[:12].decode("latin-1"), text.count(b"\nid: "), EVENTS, end, time.monotonic() - begun))
        return end == "whole" or name not in done

    playing = asyncio.ensure_future(asyncio.gather(*[play_client(number) for number in range(CLIENTS)]))
    await asyncio.sleep(0.3)
    record.say("SIGTERM, after %d of %d requests ran" % (sum(name.startswith("big") for name in done), CLIENTS))
    relay.process.send_signal(signal.SIGTERM)
    whole = await playing
    record.say("%d of %d answers, of requests that ran, were not whole" % (whole.count(False), CLIENTS))
    return whole.count(False) <= 3


main(os.path.dirname(os.path.abspath(__file__)), play)
