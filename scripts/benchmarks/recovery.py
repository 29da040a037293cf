"""Time until streams continue, and until goodput has recovered, after faults."""
import statistics
import time

from benchmarks import bound
from benchmarks.cluster import LAYERS, Cluster, Engine, request

MICROS_PER_LAYER = 500
REPLICAS, SLOTS = 6, 8  # Engines per layer range (of two); slots per engine.
ROUTERS = 3
LOAD_SHARE = 0.5  # Of the bound, so that the remaining engines can take over.
# Goodput before a fault is averaged over at most this time.
MAX_SECONDS_BEFORE = 3
# A stream counts as hit if its gap began this close to the fault. The start of
# the load is known to within some 20 ms, and a token may be in flight.
HIT_WINDOW_MS = (-100, 200)
WINDOW_BUCKETS = 5  # Goodput is averaged over this many buckets of 100 ms.
# The load itself varies by some 5% from window to window.
RECOVERED_SHARE = 0.85


def engines():
    return [
        Engine(f"{side}-{i}", "fd-a", first, end, MICROS_PER_LAYER, SLOTS)
        for i in range(REPLICAS)
        for side, first, end in [("front", 0, 12), ("back", 12, 24)]
    ]


class Faults:
    """Injects faults; each method returns a function that undoes the fault."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.fleet = cluster.engines
        self.next_engine = 0
        self.next_router = 0

    def next_target(self):
        # Successive faults, of either kind, hit different engines in turn.
        self.next_engine += 1
        return self.fleet[self.next_engine * 5 % len(self.fleet)]

    def kill_stage(self):
        engine = self.next_target()
        self.cluster.kill(engine.name)
        return lambda: self.cluster.start_engine(engine)

    def freeze_stage(self):
        request(self.cluster.address[self.next_target().name], "POST", "/admin/freeze")
        return lambda: None

    def kill_router(self):
        self.next_router = (self.next_router + 1) % ROUTERS
        name = f"vm-{self.next_router}"
        self.cluster.kill(name)
        return lambda: self.cluster.start_router(name)


def recovery_ms(buckets, at_ms):
    """Time until goodput over half a second is RECOVERED_SHARE of that before the fault.

    0 if goodput does not drop below it within 2 s; None if it does not recover.
    """
    begin = int(at_ms // 100)
    before = buckets[max(0, begin - 10 * MAX_SECONDS_BEFORE) : begin]
    wanted = RECOVERED_SHARE * WINDOW_BUCKETS * sum(before) / len(before)
    window_sums = [
        sum(buckets[i : i + WINDOW_BUCKETS])
        for i in range(begin, len(buckets) - WINDOW_BUCKETS)
    ]
    first_low = next(
        (i for i, value in enumerate(window_sums[:20]) if value < wanted), None
    )
    if first_low is None:
        return 0
    recovered = next(
        (i for i, value in enumerate(window_sums[first_low:]) if value >= wanted), None
    )
    return None if recovered is None else 100 * (first_low + recovered)


def hit_gaps(gaps, at_ms):
    return [
        length
        for end, length in gaps
        if HIT_WINDOW_MS[0] <= end - length - at_ms <= HIT_WINDOW_MS[1]
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
    back = [recovery_ms(result["tokens_per_100_ms"], at) for at in times]
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
    count, pause, fault_seconds = (3, 3.5, 1.5) if quick else (20, 4, 2)
    fleet = engines()
    limit = bound.tokens_per_second(fleet, LAYERS)
    mean_tokens = 100
    rate = LOAD_SHARE * limit / mean_tokens
    emit(
        benchmark="recovery", figure="bound", tokens_per_second=round(limit, 1),
        engines=len(fleet), routers=ROUTERS, load=LOAD_SHARE, faults_of_each_kind=count,
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
                undo_fault = getattr(faults, kind)()
                time.sleep(fault_seconds)
                undo_fault()
            report(emit, kind, times, cluster.load_result(load))
            cluster.wait_until_ready()
