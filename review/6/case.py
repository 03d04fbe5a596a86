"""A batch job within the limits makes each proxy that it is sent to exceed its memory. See claim.txt."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
from rig import *

MEMORY_MB = 260                             # `edge` of savinja-permits
ITEMS = 172_000 if TROUBLE else 600         # 189 bytes of JSON text each
MAX_BODY_BYTES = 33554432
JOBS, EVERY_S, CLIENTS = 4, 6.0, 16


async def platform(system, record, kills, peak):
    """Ends a process that exceeds `memory_mb` and starts it again after a short delay, as DEPLOY.md says."""
    while True:
        for proxy in [p for p in system.processes if p.role == "proxy" and p.alive()]:
            name, used = proxy.machine["name"], proxy.memory_mb()
            peak[name] = max(peak.get(name, 0), round(used))
            if used > MEMORY_MB:
                record(f"platform: the proxy of {name} uses {used:.0f} MB of {MEMORY_MB}, ended")
                kills[name] = kills.get(name, 0) + 1
                proxy.kill()
                asyncio.get_running_loop().call_later(0.5, system.restart, proxy)
        await asyncio.sleep(0.005)


async def client(front, record, number, until, cut):
    """Sends small requests on a kept connection, one after the other, and opens a new one when it is lost."""
    n, writer = 0, None
    while now() < until:
        n += 1
        rid = f"c{number}-{n}"
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*front)
            headers = {"Host": HOST, "Request-Id": rid, "Deadline-Ms": "2000"}
            r = await exchange(reader, writer, "POST", "/desk/1", headers, b"x")
            if r.status != 200:
                record(f"{rid}: {r.status}")
        except (OSError, asyncio.IncompleteReadError) as error:
            cut[rid] = f"{now():.3f} {error!r}"
            if writer is not None:
                writer.close()
            writer = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.02)


async def trainer(fronts, record, number, body):
    """Sends one job, and once more at the other proxy if it is cut, as PROTOCOL.md says."""
    for front in (fronts if number % 2 == 0 else fronts[::-1]):
        headers = {"Host": HOST, "Request-Id": f"job{number}", "Content-Type": "application/json"}
        try:
            r = await http(front, "POST", "/lot/7c", headers, body, timeout=8)
            record(f"job{number} of {len(body)} bytes at {front[0]}: {r.status}")
            if r.status == 202:
                return
        except Exception as error:
            record(f"job{number} of {len(body)} bytes at {front[0]}: {error!r}")
        await asyncio.sleep(1)


async def case(root, record):
    s = System(root, edges=2, edge_memory_mb=MEMORY_MB)
    kills, peak, cut = {}, {}, {}
    try:
        await s.start()
        await operator(s, "PUT", "/config", {"If-Match": "0", "Content-Type": "application/json"}, config(1, [desk_route(), job_route()]))
        servers = []
        for k in range(3):
            servers.append(await Transcriber(s, record, f"i-d{k}", "desk", ZONES[k % 3], slots=24, work=0.1).start())
            await Transcriber(s, record, f"i-l{k}", "llm", ZONES[k % 3], model="m").start()
        await s.wait_ready()
        await asyncio.sleep(1.5)
        watch = asyncio.create_task(platform(s, record, kills, peak))
        fronts = s.fronts()
        bodies = [job(ITEMS, body=b"permit", tag=f"{n:x}-", step=n) for n in range(JOBS)]
        if any(len(b) > MAX_BODY_BYTES for b in bodies):
            raise CannotRun("the job is larger than max_body_bytes")
        until = now() + JOBS * EVERY_S + 2
        clients = [asyncio.create_task(client(fronts[n % 2], record, n, until, cut)) for n in range(CLIENTS)]
        for n, body in enumerate(bodies):
            at = now()
            await trainer(fronts, record, n, body)
            await asyncio.sleep(max(0, at + EVERY_S - now()))
        await asyncio.gather(*clients)
        watch.cancel()
        ran = {rid: t.id for t in servers for _, rid, *_ in t.ran}
        lost = [f"LOST {rid}: ran at {ran[rid]}, connection closed without an answer at {at}" for rid, at in cut.items() if rid in ran]
        record(f"requests run: {len(ran)}; run and cut: {len(lost)}; most memory, MB: {peak}; ended for memory: {kills}")
        return lost if kills and len(lost) > 3 else []
    finally:
        s.stop()


main(case, HERE)
