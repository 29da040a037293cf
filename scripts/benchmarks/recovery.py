"""Time until streams go on, and until goodput is back, after faults."""
import statistics
import time

from benchmarks import bound
from benchmarks.cluster import LAYERS, Cluster, Engine, request

MICROS_PER_LAYER = 500
REPLICAS, SLOTS = 6, 8  # Of each of two ranges.
ROUTERS = 3
LOAD = 0.5  # Of the bound, so that the rest can take over.
MOST_SECONDS_BEFORE = 3
# A stream counts as hit if its gap began this close to the fault. The start
# of the load is known to some 20 ms, and a token may be on its way.
HIT_MS = (-100, 200)
WINDOW = 5  # Buckets of 100 ms.
BACK_SHARE = 0.85  # The load itself varies by some 5% from window to window.


def engines():
    return [
        Engine(f"{side}-{i}", "fd-a", first, end, MICROS_PER_LAYER, SLOTS)
        for i in range(REPLICAS)
        for side, first, end in [("front", 0, 12), ("back", 12, 24)]
    ]


class Faults:
    """Each fault returns what undoes it."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.fleet = cluster.engines
        self.next_engine = 0
        self.next_router = 0

    def engine(self):
        # Faults of both kinds fall on all engines in turn.
        self.next_engine += 1
        return self.fleet[self.next_engine * 5 % len(self.fleet)]

    def kill_stage(self):
        engine = self.engine()
        self.cluster.kill(engine.name)
        return lambda: self.cluster.start_engine(engine)

    def freeze_stage(self):
        request(self.cluster.address[self.engine().name], "POST", "/admin/freeze")
        return lambda: None

    def kill_router(self):
        self.next_router = (self.next_router + 1) % ROUTERS
        name = f"vm-{self.next_router}"
        self.cluster.kill(name)
        return lambda: self.cluster.start_router(name)


def back_after_ms(buckets, at_ms):
    """Time until half a second of goodput is as good as before the fault."""
    begin = int(at_ms // 100)
    before = buckets[max(0, begin - 10 * MOST_SECONDS_BEFORE) : begin]
    wanted = BACK_SHARE * WINDOW * sum(before) / len(before)
    moving = [
        sum(buckets[i : i + WINDOW]) for i in range(begin, len(buckets) - WINDOW)
    ]
    lowest = next((i for i, value in enumerate(moving[:20]) if value < wanted), None)
    if lowest is None:
        return 0
    back = next((i for i, value in enumerate(moving[lowest:]) if value >= wanted), None)
    return None if back is None else 100 * (lowest + back)


def hit_gaps(gaps, at_ms):
    return [
        length
        for end, length in gaps
        if HIT_MS[0] <= end - length - at_ms <= HIT_MS[1]
    ]


def summary(values):
    known = [value for value in values if value is not None]
    return {
        "count": len(known),
        "median": statistics.median(known) if known else None,
        "worst": max(known, default=None),
    }


def report(emit, kind, times, result):
    gaps = [hit_gaps(result["gaps_ms"], at) for at in times]
    back = [back_after_ms(result["tokens_per_100_ms"], at) for at in times]
    emit(
        benchmark="recovery", figure=kind, faults=len(times),
        streams_hit=sum(map(len, gaps)),
        gap_ms=summary([length for each in gaps for length in each]),
        longest_gap_of_fault_ms=summary([max(each) for each in gaps if each]),
        goodput_back_ms=summary(back), not_back=back.count(None),
        tokens_per_second=round(result["tokens_per_second"], 1),
        completions=result["completions"], reconnects=result["reconnects"],
        wrong_tokens=result["wrong_tokens"], first_token_ms=result["first_token_ms"],
        token_interval_ms=result["token_interval_ms"],
    )


def run(quick, emit):
    count, pause, undo = (3, 3.5, 1.5) if quick else (20, 4, 2)
    fleet = engines()
    limit = bound.tokens_per_second(fleet, LAYERS)
    mean_tokens = 100
    rate = LOAD * limit / mean_tokens
    emit(
        benchmark="recovery", figure="bound", tokens_per_second=round(limit, 1),
        engines=len(fleet), routers=ROUTERS, load=LOAD, faults_of_each_kind=count,
        micros_per_layer=MICROS_PER_LAYER, seconds_between_faults=pause,
    )
    with Cluster(fleet) as cluster:
        cluster.start_endpoints()
        cluster.add_routers(ROUTERS)
        cluster.publish(cluster.document())
        for name in cluster.routers:
            cluster.start_router(name)
        cluster.wait_until_ready()
        faults = Faults(cluster)
        for kind in ("kill_stage", "freeze_stage", "kill_router"):
            lead = 2.5
            load = cluster.start_load(
                "--rate", rate, "--seconds", lead + count * pause, "--warm-up", 1,
                "--least-tokens", 60, "--most-tokens", 140, "--grace", 0.5,
                "--threads", 600, "--listed-gap-ms", 50,
            )
            start = time.monotonic()
            times = []
            for number in range(count):
                time.sleep(max(0, start + lead + number * pause - time.monotonic()))
                times.append(1000 * (time.monotonic() - start))
                heal = getattr(faults, kind)()
                time.sleep(undo)
                heal()
            report(emit, kind, times, cluster.load_result(load))
            cluster.wait_until_ready()
