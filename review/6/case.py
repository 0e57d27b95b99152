"""A runner answers before it has read the request, breaks its answer off, and resets the connection."""
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import *  # noqa: E402,F403

REQUESTS = 40
# The sheet's mean prompt of the longest kind of request.
BODY_BYTES = 12000
ANSWER_BYTES = 1000
# Time from the end of the runner's side to the end of its connection, in seconds.
LATER_S = 0.01


class App(Runner):
    """Answers without a length, and ends its answers with their connections."""

    in_trouble = False

    async def start(self):
        self.whole = []
        self.broken = []
        self.listener = socket.create_server((self.ip, self.port), backlog=100)
        threading.Thread(target=self.accept, daemon=True).start()
        self.beating = asyncio.ensure_future(self.beat())

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.answer_early, args=(connection,), daemon=True).start()

    def answer_early(self, connection):
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = connection.recv(1)
            if not byte:
                return connection.close()
            head += byte
        lines = head.decode("latin-1").split("\r\n")[1:-2]
        fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)}
        name = fields["x-carawayrun-request-id"]
        answer = self.head(fields, "Content-Type: text/plain\r\nConnection: close\r\n")
        body = (b"%s." % name.encode()) * ANSWER_BYTES
        if self.in_trouble:
            # The rest of the request is unread when the connection ends: its system resets the connection.
            connection.sendall(answer + body[:ANSWER_BYTES // 2])
            self.broken.append(name)
            connection.shutdown(socket.SHUT_WR)
            time.sleep(LATER_S)
        else:
            left = int(fields["content-length"])
            while left > 0:
                left -= len(connection.recv(65536))
            connection.sendall(answer + body[:ANSWER_BYTES])
            self.whole.append(name)
        connection.close()
        return None


async def play(record, scratch, relays):
    store = Store(free_ip())
    await store.start()
    known = route("claim-release", "/claim/", "claim-desk", "unsafe", 2000, 300, max_attempts=1)
    await store.put("op", "config", config(5, [known], [service("claim-desk")]))
    runners = [App(store, record, "i-%d" % number, "claim-desk", slots=6) for number in range(4)]
    for number, runner in enumerate(runners):
        runner.in_trouble = TROUBLE and number % 2 == 0
        await runner.start()
    relay = Relay(store)
    relay.start(scratch)
    relays.append(relay)
    await relay.until_ready()
    wrong = []
    for number in range(REQUESTS):
        name = "r%d" % number
        reader, writer = await asyncio.open_connection(relay.ip, relay.port)
        writer.write(request("POST", "/claim/a", name, 4000, "", b"p" * BODY_BYTES))
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)).decode("latin-1")
        length = int(re.search(r"(?i)^content-length: (\d+)", head, re.M).group(1))
        body = await asyncio.wait_for(reader.readexactly(length), 6)
        close(writer)
        status = int(head[9:12])
        made = "broken off at %d" % (ANSWER_BYTES // 2) if any(name in runner.broken for runner in runners) else "whole"
        record.say("client %s got %d with a whole body of %d bytes; its runner's answer of %d bytes was %s"
                   % (name, status, len(body), ANSWER_BYTES, made))
        if 200 <= status < 300 and len(body) != ANSWER_BYTES:
            wrong.append(name)
        await asyncio.sleep(0.05)
    record.say("%d of %d got a part of an answer as a whole one" % (len(wrong), REQUESTS))
    return not wrong


main(os.path.dirname(os.path.abspath(__file__)), play)
