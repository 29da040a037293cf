"""Goodput and time to first token on mixed accelerators, by route strategy."""
import statistics

from benchmarks import bound
from benchmarks.cluster import LAYERS, Cluster, Engine

FAST, MIDDLE, SLOW = 500, 1000, 3000  # Microseconds per layer.
DELAYS = {"fd-a": 1, "fd-b": 4}  # One-way milliseconds to the failure domain.
REPORT_LAG_MS = 2000
MIN_TOKENS, MAX_TOKENS = 8, 40
SERVICE_SHARE = 0.1
STRATEGIES = ["estimated-cost", "round-robin", "least-outstanding"]
ROUTERS = 3


def engines():
    ranges = [
        ("whole-fast", 0, 24, FAST), ("whole-slow", 0, 24, SLOW),
        ("front-fast", 0, 16, FAST), ("back-fast", 16, 24, FAST),
        ("front-slow", 0, 16, SLOW), ("back-slow", 16, 24, SLOW),
        ("front-middle", 0, 8, MIDDLE), ("back-middle", 8, 24, MIDDLE),
    ]
    return [
        Engine(f"{domain[-1]}-{name}", domain, first, end, micros, delay_ms=delay)
        for domain, delay in DELAYS.items()
        for name, first, end, micros in ranges
    ]


def links():
    return [
        (begin, end, 1000 * DELAYS.get(end, 1))
        for begin in DELAYS
        for end in DELAYS
    ]


def measure(cluster, rate, seconds, warm_up, seed):
    cpu = cluster.router_cpu_seconds()
    result = cluster.load_result(cluster.start_load(
        "--rate", rate, "--seconds", seconds, "--warm-up", warm_up, "--seed", seed,
        "--least-tokens", MIN_TOKENS, "--most-tokens", MAX_TOKENS,
        "--service-share", SERVICE_SHARE, "--service-path", "/services/registry/stamps",
        "--threads", 1500, "--grace", 0.5,
    ))
    cpu = cluster.router_cpu_seconds() - cpu
    # Includes the cost of each request, spread over the tokens of its answer.
    result["router_cpu_us_per_token"] = round(
        1e6 * cpu / max(1, sum(result["tokens_per_100_ms"])), 1
    )
    del result["tokens_per_100_ms"], result["gaps_ms"]
    return result


def run(quick, emit):
    seconds, warm_up, rounds = (5, 2, 1) if quick else (13, 4, 3)
    fleet = engines()
    limit = bound.tokens_per_second(fleet, LAYERS)
    mean_tokens = (MIN_TOKENS + MAX_TOKENS) / 2
    full_rate = limit / mean_tokens / (1 - SERVICE_SHARE)
    emit(
        benchmark="throughput", figure="bound", tokens_per_second=round(limit, 1),
        engines=len(fleet), routers=ROUTERS, report_lag_ms=REPORT_LAG_MS,
        delays_ms=DELAYS, micros_per_layer=[FAST, MIDDLE, SLOW],
        mean_tokens=mean_tokens, service_share=SERVICE_SHARE,
    )
    ratios, first_tokens = {}, {}
    with Cluster(fleet, services=1, links=links()) as cluster:
        cluster.start_endpoints(REPORT_LAG_MS)
        cluster.add_routers(ROUTERS)
        cluster.publish(cluster.document())
        for name in cluster.routers:
            cluster.start_router(name)
        cluster.wait_until_ready()
        # Warms the prefix caches, so that the first strategy has no disadvantage.
        measure(cluster, full_rate, 2.5, 0, 1)
        for number in range(rounds):
            order = STRATEGIES[number % 3:] + STRATEGIES[: number % 3]
            for strategy in order:
                cluster.publish(cluster.document(strategy))
                cluster.wait_for_version()
                loads = [0.8, 1.0] + ([2.0] if strategy == "estimated-cost" else [])
                for load in loads:
                    result = measure(
                        cluster, load * full_rate, seconds, warm_up, 1 + number
                    )
                    ratio = result["tokens_per_second"] / limit
                    ratios.setdefault((strategy, load), []).append(ratio)
                    first_tokens.setdefault((strategy, load), []).append(
                        result["first_token_ms"]["p95"]
                    )
                    emit(
                        benchmark="throughput", figure="run", strategy=strategy,
                        load=load, round=number, of_bound=round(ratio, 3), **result,
                    )
    median = lambda table, key: round(statistics.median(table[key]), 3)
    for strategy in STRATEGIES:
        emit(
            benchmark="throughput", figure="summary", strategy=strategy,
            saturated_of_bound=median(ratios, (strategy, 1.0)),
            first_token_p95_ms_at_0_8=median(first_tokens, (strategy, 0.8)),
            goodput_of_bound_at_0_8=median(ratios, (strategy, 0.8)),
        )
    at_bound, at_twice = ("estimated-cost", 1.0), ("estimated-cost", 2.0)
    emit(
        benchmark="throughput", figure="overload",
        goodput_at_2x_of_1x=round(median(ratios, at_twice) / median(ratios, at_bound), 3),
        first_token_p95_ms_at_2x=median(first_tokens, at_twice),
    )
