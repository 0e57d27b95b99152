"""A configuration gives a route a rank above 255, and takes a key away."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab2 import *  # noqa: E402,F403

REVOKE_S, CONFIG_APPLY_S = 5.0, 3.0
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"


async def play(record, scratch, relays):
    store = Store(free_ip())
    await store.start()
    services = [service("claim-desk"), service("claim-desk-next")]

    def version(number, target, rank, keys):
        routes = [route("claim-release", "/claim/", target, "unsafe", 2000, 300, max_attempts=1),
                  route("nightly", "/nightly/", "claim-desk", "safe", 2000, 300, priority=rank)]
        known = config(number, routes, services)
        known["tenants"][0]["api_keys"] = keys
        return known

    await store.put("op", "config", version(5, "claim-desk", 9, [KEY, OTHER_KEY]))
    ran = {}

    class App(Runner):
        async def answer(self, line, fields, body, reader, writer):
            name = fields["x-carawayrun-request-id"]
            ran[name] = self.service
            self.record.say("%s of service %s runs %s" % (self.name, self.service, name))
            return await super().answer(line, fields, body, reader, writer)

    for number, name in enumerate(["claim-desk", "claim-desk", "claim-desk-next"]):
        await App(store, record, "i-%d" % number, name, slots=6).start()
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
        await ask("before-%d" % number, OTHER_KEY)
    rank = 1000 if TROUBLE else 10
    await store.put("op", "config", version(9, "claim-desk-next", rank, [KEY]))
    acknowledged = time.monotonic()
    record.say("acknowledged: version 9: key %s is gone, /claim/ goes to claim-desk-next, rank of /nightly/ is %d"
               % (OTHER_KEY, rank))
    late, old = [], []
    for number in range(14):
        await asyncio.sleep(0.6)
        since = time.monotonic() - acknowledged
        record.say("%.1f s after the acknowledgement:" % since)
        await ask("taken-%d" % number, OTHER_KEY)
        await ask("kept-%d" % number, KEY)
        if since > REVOKE_S and "taken-%d" % number in ran:
            late.append("taken-%d" % number)
        if since > CONFIG_APPLY_S and ran.get("kept-%d" % number) == "claim-desk":
            old.append("kept-%d" % number)
    record.say("ran with a key that was taken away over %.0f s before: %s" % (REVOKE_S, late))
    record.say("run by the old service over %.0f s after the acknowledgement: %s" % (CONFIG_APPLY_S, old))
    return not late and not old


main(os.path.dirname(os.path.abspath(__file__)), play)
