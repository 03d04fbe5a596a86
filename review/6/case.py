"""Answers that slow clients still read fill the memory of the proxy, which is ended. See claim.txt."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *

CLIENTS, BYTES = 24, 16_000_000
MEMORY_MB = 260                                        # `edge` of savinja-permits
BYTES_PER_S = 1_200_000 if TROUBLE else 1_000_000_000   # the client's link: 9.6 Mbit/s; a whole answer takes 13 s


class Pages(Transcriber):
    async def run(self, reader, writer, method, path, headers, body, rid, base):
        self.ran.append((now(), rid, path, headers, body))
        self.record(f"{self.id} ran {rid}")
        await self.reply(writer, 200, {**base, "Response-Seal": f"seal.{rid}"}, b"p" * int(path.split("/")[-1]))


async def platform(system, record, kills, peak):
    """Ends a process that exceeds `memory_mb` and starts it again after a short delay, as DEPLOY.md says."""
    proxy = system.find("proxy")
    while True:
        if proxy.alive():
            used = proxy.memory_mb()
            peak[0] = max(peak[0], used)
            if used > MEMORY_MB:
                record(f"platform: the proxy uses {used:.0f} MB of {MEMORY_MB}, ended")
                kills.append(now())
                proxy.kill()
                asyncio.get_running_loop().call_later(0.5, system.restart, proxy)
        await asyncio.sleep(0.01)


async def client(front, record, number, broken):
    """Keeps one connection for a small page and a large one, and reads at the rate of its link."""
    await asyncio.sleep(0.4 * number)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(sock, front)
    except OSError as error:
        record(f"c{number}: not connected, {error!r}")
        return
    reader, writer = await asyncio.open_connection(sock=sock, limit=65536)
    for name, size in (("small", 800), ("large", BYTES)):
        rid, sent, got, first = f"c{number}-{name}", now(), 0, "no answer"
        try:
            writer.write(request_bytes("POST", f"/desk/{size}", {"Host": HOST, "Request-Id": rid, "Deadline-Ms": "30000"}, b"x"))
            first, headers = await read_head(reader)
            if first.split()[1] != "200":
                record(f"{rid}: {first}")
                break
            while got < size:
                data = await reader.read(65536)
                if not data:
                    break
                got += len(data)
                await asyncio.sleep(len(data) / BYTES_PER_S)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            record(f"{rid}: {error!r}")
        record(f"{rid}: {first}, {got} of {size} bytes in {now() - sent:.1f} s")
        if got < size:
            broken.append((rid, f"LOST {rid}: connection closed after {got} of {size} bytes, {now() - sent:.1f} s after it was sent"))
            break
    writer.close()


async def case(root, record):
    s = System(root, edges=1, edge_memory_mb=MEMORY_MB)
    broken, kills, peak = [], [], [0]
    try:
        await s.start()
        await operator(s, "PUT", "/config", {"If-Match": "0", "Content-Type": "application/json"}, config(1, [desk_route(timeout_ms=30000)]))
        servers = []
        for k in range(3):
            servers.append(await Pages(s, record, f"i-d{k}", "desk", ZONES[k % 3], slots=6).start())
        await s.wait_ready()
        await asyncio.sleep(1.5)
        watch = asyncio.create_task(platform(s, record, kills, peak))
        await asyncio.gather(*[client(s.fronts()[0], record, n, broken) for n in range(CLIENTS)])
        watch.cancel()
        ran = {rid for t in servers for _, rid, *_ in t.ran}
        lost = [text for rid, text in broken if rid in ran]
        record(f"the proxy used up to {peak[0]:.0f} MB and was ended {len(kills)} times; requests that ran and were cut: {len(lost)}")
        return lost if kills and len(lost) > 3 else []
    finally:
        s.stop()


main(case, HERE)
