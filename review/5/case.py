"""A late second copy of a refusal, on the channel on which the same request
was sent again."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import standin as s

# The largest doses on the users' pages: 3 in 100 of the answers, 60 in 100 of
# the servers (here one of three: that at which paths begin), 5 s.
EXTRA_SHARE, EXTRA_FROM_S, EXTRA_FOR_S = 0.03, 6.0, 5.0
SLOTS = 4
CYCLE_S = 0.4
PATH = "/lohu930/2f"


class BusyEngine(s.Engine):
    """Rejects what is over its slots; spoils few answers by a second copy that
    comes late, at the point where the next response is expected."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.active = 0
        self.answers = 0
        self.is_spoiling = False
        self.spoiled = 0
        self.owed = {}  # The copy that a channel still gets.

    def entry(self):
        return dict(super().entry(), slots=SLOTS)

    async def serve_stream(self, request, writer):
        attempt = request.field("Attempt-Id")
        if copy := self.owed.pop(writer, None):
            self.record.write(
                f"{self.name} sends the copy of its earlier answer")
            writer.write(copy)
        self.answers += self.is_spoiling
        if self.active >= SLOTS:
            self.reject(request, writer)
            if (self.is_spoiling
                    and self.spoiled + 1 <= EXTRA_SHARE * self.answers):
                self.spoiled += 1
                self.owed[writer] = s.answer_bytes(
                    503, [("Attempt-Id", attempt), ("Not-Executed", "1")])
            return
        self.active += 1
        try:
            # The run begins with the first token.
            await asyncio.sleep(self.event_s)
            self.note_run(request)
            tokens = int(request.field("Token-Count").split(",")[1])
            self.events = tokens // 3
            await self.send_stream(request, writer)
        except (ConnectionError, OSError):
            self.record.write(f"{self.name}: the channel of {attempt} is "
                              "closed, its run ends")
            raise
        finally:
            self.active -= 1


async def story(deployment):
    gateways = [deployment.add_gateway("maan-a") for _ in range(2)]
    await deployment.start(s.desired_state(
        7, [s.route("cert-draft", "/lohu930/", "streaming", "huvo11a",
                    resumable=False, sticky=True, gap_goal_ms=200)],
        [s.engine_service("huvo11a")]))
    engines = [await deployment.add(BusyEngine(
        deployment, f"engine-{number}", "huvo11a", "maan-a"))
        for number in (1, 2, 3)]

    async def has_path():
        end = 0
        for first, target in sorted(engine.layers for engine in engines):
            end = target if first == end else end
        return end == 80

    await deployment.until(has_path, 20, "the engines got no layers")
    await asyncio.sleep(1)
    answers = {}
    channels = {f"client {number}": s.Channel(gateways[0].frontend)
                for number in range(SLOTS)}
    channels["client"] = s.Channel(gateways[1].frontend)

    async def send(client, gateway, tokens):
        name = s.attempt_id()
        deployment.record.write(
            f"{client}: sends {name} to {gateway.name}")
        answer = await channels[client].send(
            "POST", PATH, name, body=b"prompt", deadline_ms=20000,
            fields=[("Model", "daka510000"), ("Token-Count", f"100,{tokens}"),
                    ("Prompt-Prefix", f"a0:40,{name[:8]}:60")])
        answers[name] = answer.status
        deployment.record.write(
            f"{client}: {name} gets {answer.status or 'no answer'}"
            f"{'' if answer.is_complete else ', not complete'}")

    async def other_clients(until):
        """Short requests that fill the engine, and leave again."""
        while time.monotonic() < until:
            started = time.monotonic()
            await asyncio.gather(*(
                send(f"client {number}", gateways[0], 3)
                for number in range(SLOTS)))
            await asyncio.sleep(started + CYCLE_S - time.monotonic())

    async def client(until):
        """One in three of its requests comes while the engine is full for a
        moment."""
        number = 0
        while time.monotonic() < until:
            started = time.monotonic()
            number += 1
            await asyncio.sleep(0.02 if number % 3 == 0 else 0.15)
            await send("client", gateways[1], 12)
            await asyncio.sleep(
                max(0, started + CYCLE_S - time.monotonic()))

    async def trouble():
        await asyncio.sleep(EXTRA_FROM_S)
        first = min(engines, key=lambda engine: engine.layers)
        deployment.record.write(
            f"{first.name} sends some answers twice from now on")
        first.is_spoiling = True
        await asyncio.sleep(EXTRA_FOR_S)
        first.is_spoiling = False
        deployment.record.write("no more answers are sent twice")

    if s.has_trouble():
        asyncio.get_running_loop().create_task(trouble())
    until = time.monotonic() + EXTRA_FROM_S + EXTRA_FOR_S + 2
    await asyncio.gather(other_clients(until), client(until))
    if sum(status == 200 for status in answers.values()) < len(answers) / 2:
        raise s.CannotRun("most requests are not served at all")
    broken = []
    for engine in engines:
        for name in answers:
            if (runs := engine.runs.count(name)) > 1:
                broken.append(f"TWICE: {name} ran {runs} times at "
                              f"{engine.name}; its client got {answers[name]}")
    return broken


s.play(FOLDER, story)
