"""Kept connections go on with the header limit of a configuration that is long replaced. See claim.txt."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *

CONNECTIONS = 24
SMALL, LARGE = 8192, 32768          # max_header_bytes of configuration 1 and 2
HEADER_BYTES = 20000


def limits(max_header_bytes):
    return dict(max_header_bytes=max_header_bytes, max_body_bytes=33554432, header_timeout_ms=3000, idle_timeout_ms=15000)


class Client:
    """A client that keeps one connection for all its requests."""

    def __init__(self, front, record, number):
        self.front, self.record, self.number, self.sent = front, record, number, 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.front)

    async def send(self, header_bytes, what):
        self.sent += 1
        rid = f"c{self.number}-{self.sent}"
        headers = {"Host": HOST, "Request-Id": rid, "Deadline-Ms": "2000", "X-Note": "n" * header_bytes}
        at = now()
        r = await asyncio.wait_for(exchange(self.reader, self.writer, "POST", "/desk/1", headers, b"x"), 5)
        self.record(f"{rid} sent at {at:.3f}, {what}, header of {header_bytes} bytes: {r.status}")
        return rid, r.status


async def case(root, record):
    s = System(root, edges=1)
    try:
        await s.start()
        first = limits(SMALL if TROUBLE else LARGE)
        r = await operator(s, "PUT", "/config", {"If-Match": "0", "Content-Type": "application/json"}, config(1, [desk_route()], first))
        record(f"configuration 1, max_header_bytes {first['max_header_bytes']}: {r.status}")
        servers = []
        for k in range(3):
            servers.append(await Transcriber(s, record, f"i-d{k}", "desk", ZONES[k % 3], slots=8).start())
        await s.wait_ready()
        await asyncio.sleep(1.5)
        clients = [Client(s.fronts()[0], record, n) for n in range(CONNECTIONS)]
        for c in clients:
            await c.open()
            await c.send(100, "kept connection")
        if TROUBLE:
            r = await operator(s, "PUT", "/config", {"If-Match": "1", "Content-Type": "application/json"}, config(2, [desk_route()], limits(LARGE)))
            record(f"configuration 2, max_header_bytes {LARGE}: acknowledged with {r.status}")
        for _ in range(4):                  # 4 s, twice config_apply_ms, in which the connections stay in use
            await asyncio.sleep(1)
            for c in clients:
                await c.send(100, "kept connection")
        new = Client(s.fronts()[0], record, "new")
        await new.open()
        if (await new.send(HEADER_BYTES, "new connection"))[1] != 200:
            raise CannotRun("the limit is not in force on new connections")
        answers = [await c.send(HEADER_BYTES, "kept connection") for c in clients]
        refused = [rid for rid, status in answers if status == 431]
        ran = {rid for t in servers for _, rid, *_ in t.ran}
        record(f"{len(refused)} of {len(answers)} refused with 431; of these run: {len(ran & set(refused))}")
        return [f"CONFIG {rid}: refused with 431 as only configuration 1 allows" for rid in refused]
    finally:
        s.stop()


main(case, HERE)
