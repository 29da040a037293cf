"""A model server spoils one of its reports."""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import standin as s

# The doses on the users' pages: half of the servers (here one of four), 2 in 100
# of their answers, 6.8 s (here 6 s).
GARBLE_SHARE, GARBLE_FROM_S, GARBLE_FOR_S = 0.02, 3.0, 6.0
STREAMERS, READERS = 24, 16
# The users' sheet allows pauses of 200 ms between the events of a stream.
LONGEST_PAUSE_S = 0.18


class Engine(s.Engine):
    """Spoils few of its answers while is_spoiling: in a report, null stands
    where a text belongs."""

    is_spoiling = False
    answers = spoiled = 0

    def count_answer(self):
        self.answers += self.is_spoiling

    async def serve_request(self, request, writer):
        self.count_answer()
        if (request.target == "/v1/report" and self.is_spoiling
                and self.spoiled + 1 <= GARBLE_SHARE * self.answers):
            self.spoiled += 1
            self.record.write(f"{self.name} spoils a report")
            writer.write(s.answer_bytes(
                200, [("Content-Type", "application/json")],
                json.dumps({
                    "stage": "colocated", "busy": False, "pace": 1.0,
                    "sequence": self.sequence, "queued": 0, "active": 0,
                    "kv_used": 0, "kv_total": 90000, "handles": 0,
                    "stalled": [{"id": None, "address": None}]}).encode()))
            return
        await super().serve_request(request, writer)

    async def send_stream(self, request, writer):
        writer.write(s.head_bytes(200, self.sealed(request) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        first = int(request.field("Last-Event-Id") or 0)
        for number in range(first + 1, 11):
            await asyncio.sleep(random.choice((0.03, 0.03, LONGEST_PAUSE_S)))
            writer.write(s.chunk_bytes(
                f"id: {number}\ndata: piece {number}\n\n".encode()))
            await writer.drain()
        writer.write(s.chunk_bytes(b""))


class Registry(s.Server):
    async def serve_request(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(random.uniform(0.2, 0.4))
        writer.write(s.answer_bytes(200, self.sealed(request), b"done\n"))


async def story(deployment):
    gateways = [deployment.add_gateway("maan-a") for _ in range(2)]
    await deployment.start(s.desired_state(
        7, [s.route("cert-draft", "/lohu930/", "streaming", "huvo11a",
                    resumable=True, sticky=True, gap_goal_ms=200),
            s.route("seal-issue", "/puxa403/", "non_idempotent", "wuno96b",
                    max_attempts=1, timeout_ms=1000)],
        [s.engine_service("huvo11a"), s.plain_service("wuno96b")]))
    engines = [await deployment.add(Engine(
        deployment, f"engine-{number}", "huvo11a", "maan-a"))
        for number in range(1, 5)]
    registry = await deployment.add(
        Registry(deployment, "registry", "wuno96b", "maan-a"))

    async def has_path():
        end = 0
        for first, target in sorted(engine.layers for engine in engines):
            end = target if first == end else end
        return end == 80

    await deployment.until(has_path, 20, "the engines got no layers")
    await asyncio.sleep(1)
    served = []
    lost = []

    async def client(number, path, until):
        """Sends one request after the other on a kept channel."""
        gateway = gateways[number % 2]
        channel = s.Channel(gateway.frontend)
        requests = 0
        while time.monotonic() < until and not gateway.has_ended():
            name = s.attempt_id()
            try:
                answer = await channel.send(
                    "POST", path, name, body=b"text",
                    deadline_ms=20000 if path == "/lohu930/2f" else 1000,
                    fields=[("Model", "daka510000"), ("Token-Count", "100,30"),
                            ("Prompt-Prefix", f"a0:40,{name[:8]}:60")])
            except OSError:
                return
            requests += 1
            deployment.record.write(
                f"client {number}: {name} gets {answer.status or 'no answer'}"
                f"{'' if answer.is_complete else ', not complete'}")
            if answer.status == 200 and answer.is_complete:
                served.append(name)
            elif not answer.status and requests > 1:
                lost.append(name)

    async def trouble():
        await asyncio.sleep(GARBLE_FROM_S)
        # Paths begin there, so it gets the requests and is asked for reports.
        first = min(engines, key=lambda engine: engine.layers)
        deployment.record.write(f"{first.name} spoils some answers")
        first.is_spoiling = True
        await asyncio.sleep(GARBLE_FOR_S)
        first.is_spoiling = False

    if s.has_trouble():
        asyncio.get_running_loop().create_task(trouble())
    until = time.monotonic() + GARBLE_FROM_S + GARBLE_FOR_S + 2
    await asyncio.gather(
        *(client(number, "/lohu930/2f", until) for number in range(STREAMERS)),
        *(client(number, "/puxa403/2f", until)
          for number in range(STREAMERS, STREAMERS + READERS)))
    for gateway in gateways:
        if gateway.has_ended():
            log = (deployment.folder / f"{gateway.name}.log").read_bytes()
            deployment.record.write(
                f"{gateway.name} has ended by itself with "
                f"{gateway.process.returncode}: "
                f"{log.splitlines()[-1].decode(errors='replace')}")
    if not served:
        raise s.CannotRun("nothing is served at all")
    broken = [f"LOST: {name} was passed on to a server and its channel ended "
              "without an answer" for name in lost if name in registry.runs]
    return broken if len(broken) > 3 else []


s.play(FOLDER, story)
