"""The last tenant leaves: its keys are taken away, and the configuration lists no tenants."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import *  # noqa: E402,F403

REVOKE_S = 5.0
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"


async def play(record, scratch, relays):
    store = Store(free_ip())
    await store.start()
    routes = [route("claim-release", "/claim/", "claim-desk", "unsafe", 2000, 300, max_attempts=1)]
    services = [service("claim-desk")]
    await store.put("op", "config", config(5, routes, services))
    ran = {}

    class App(Runner):
        async def answer(self, line, fields, body, reader, writer):
            name = fields["x-carawayrun-request-id"]
            ran[name] = fields.get("x-carawayrun-tenant", "none")
            self.record.say("%s runs %s for tenant %s" % (self.name, name, ran[name]))
            return await super().answer(line, fields, body, reader, writer)

    for number in range(2):
        await App(store, record, "i-%d" % number, "claim-desk", slots=6).start()
    relay = Relay(store)
    relay.start(scratch)
    relays.append(relay)
    await relay.until_ready()

    async def ask(name, key):
        reader, writer = await asyncio.open_connection(relay.ip, relay.port)
        writer.write(request("POST", "/claim/a", name, 2000, "", b"{}").replace(KEY.encode(), key.encode()))
        line = await asyncio.wait_for(reader.readline(), 5)
        record.say("client %s with key %s got %s" % (name, key, line[9:12].decode()))
        close(writer)

    for number in range(3):
        await ask("before-%d" % number, KEY)
        await ask("stranger-before-%d" % number, NEVER_HELD)
    if "before-0" not in ran:
        raise Unable("the key was not accepted before it was taken away")
    newer = config(9, routes, services)
    if TROUBLE:
        newer["tenants"] = []
    await store.put("op", "config", newer)
    acknowledged = time.monotonic()
    record.say("acknowledged: version 9, with %d tenants" % len(newer["tenants"]))
    late = []
    for number in range(14):
        await asyncio.sleep(0.6)
        since = time.monotonic() - acknowledged
        record.say("%.1f s after the acknowledgement:" % since)
        await ask("after-%d" % number, KEY)
        await ask("stranger-after-%d" % number, NEVER_HELD)
        if since > REVOKE_S:
            late.append("after-%d" % number)
    revoked = [name for name in late if TROUBLE and name in ran]
    strangers = [name for name in ran if name.startswith("stranger")]
    record.say("ran with a key that was taken away over %.0f s before: %s" % (REVOKE_S, revoked))
    record.say("ran with a key that no configuration ever held: %s" % strangers)
    return not revoked and not strangers


main(os.path.dirname(os.path.abspath(__file__)), play)
