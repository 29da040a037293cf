"""Cost of an idle router, by peers, endpoints, accounts and changes."""
import base64
import contextlib
import json
import os
import threading
import time

from benchmarks.cluster import LAYERS, Cluster, Engine, account_table, cpu_seconds, request

BYTE_COUNTERS = ("peer_bytes_total", "platform_bytes_total", "load_poll_bytes_total")
MEASURED_ROUTER = "vm-0"
DEFAULT_ENDPOINTS, DEFAULT_ACCOUNTS = 4, 100
# Peers in "endpoints_with_peers", which shows the cost of load entries in digests.
PEERS_WITH_ENDPOINTS = 4


def memory_kb(pid):
    with open(f"/proc/{pid}/status") as file:
        values = dict(line.split(":", 1) for line in file if ":" in line)
    return {
        key: int(values[key].split()[0]) for key in ("VmRSS", "RssAnon", "VmHWM")
    }


def threads(pid):
    return len(os.listdir(f"/proc/{pid}/task"))


def engines(count):
    return [Engine(f"engine-{i}", "fd-a", 0, LAYERS, 100) for i in range(count)]


def stream_engines():
    """Engines with 35 ms between tokens, as in the target size."""
    return [Engine(f"engine-{i}", "fd-a", 0, LAYERS, 1458, 150) for i in range(2)]


def accounts(count, generation=0):
    """Tables of accounts; one account differs between generations."""
    return "".join(
        account_table(
            f"account-{i:06d}", share=1,
            requests_per_second=10 + (generation % 1000 if i == 0 else 0),
            max_outstanding=100,
        )
        for i in range(count)
    )


def vm_list(count):
    return json.dumps({"vms": [
        {
            "id": f"vm-{i:04d}", "address": f"10.{i // 250}.{i % 250}.7:8080",
            "failure_domain": f"fd-{i % 11}", "role": "engine",
            "endpoint": f"engine-{i:04d}", "state": "live",
        }
        for i in range(count)
    ]})


def bytes_per_claim(cluster):
    """Mean size of a claim in the claim shards."""
    answer = request(cluster.address["platform"], "GET", "/v1/kv/claims?recurse")[1]
    texts = [base64.b64decode(each["Value"]) for each in json.loads(answer)]
    entries = sum(len(json.loads(text)["claims"]) for text in texts)
    return round(sum(map(len, texts)) / max(1, entries), 1)


class DataPoint:
    """A cluster for one data point: within a group one size varies."""

    def __init__(self, name, value, peers=0, endpoints=DEFAULT_ENDPOINTS,
                 account_count=DEFAULT_ACCOUNTS, changes_per_minute=0, listed_vms=0,
                 keyed_calls=0, streams=0):
        self.name, self.value = name, value
        self.peers = peers
        self.account_count = account_count
        self.changes_per_minute = changes_per_minute
        self.listed_vms = listed_vms
        self.keyed_calls = keyed_calls
        self.streams = streams
        engine_list = stream_engines() if streams else engines(endpoints)
        self.cluster = Cluster(engine_list, services=1 if keyed_calls else 0)
        self.load = None
        self.stopping = threading.Event()
        self.published = 0

    def start(self):
        cluster = self.cluster
        cluster.start_endpoints()
        cluster.add_routers(1 + self.peers)
        cluster.publish(cluster.document(accounts=accounts(self.account_count)))
        if self.listed_vms:
            cluster.set_key("platform/vms", vm_list(self.listed_vms))
        for name in cluster.routers:
            cluster.start_router(name)
        cluster.wait_until_ready()

    def start_keyed_calls(self, seconds):
        self.load = self.cluster.start_load(
            "--rate", self.keyed_calls, "--seconds", seconds, "--grace", 1,
            "--service-share", 1, "--service-path", "/services/registry/once",
            "--keys", "--threads", 100,
        )

    def start_streams(self):
        """Streams that all start within two seconds and last for 17 s."""
        self.load = self.cluster.start_load(
            "--rate", self.streams / 2, "--seconds", 2, "--grace", 16,
            "--least-tokens", 500, "--most-tokens", 500, "--threads", 2 * self.streams,
        )

    def publish_changes(self):
        while not self.stopping.wait(60 / self.changes_per_minute):
            self.published += 1
            text = accounts(self.account_count, self.published)
            self.cluster.publish(self.cluster.document(accounts=text))

    def sample(self):
        metrics = self.cluster.metrics(MEASURED_ROUTER)
        pid = self.cluster.processes[MEASURED_ROUTER].pid
        return {
            "at": time.monotonic(), "cpu": cpu_seconds(pid),
            "tokens": metrics.get("tokens_delivered_total", 0),
            "calls": metrics.get("platform_calls_total", 0),
            "counts": self.cluster.platform_counts(),
            "messages": metrics.get("peer_messages_total", 0),
            "changes": self.published,
            **{key: metrics.get(key, 0) for key in BYTE_COUNTERS},
        }

    def result(self, before, after):
        seconds = after["at"] - before["at"]
        rate = lambda key: (after[key] - before[key]) / seconds
        pid = self.cluster.processes[MEASURED_ROUTER].pid
        return {
            "seconds": round(seconds, 2),
            "cpu_percent": round(100 * rate("cpu"), 3),
            "bytes_per_second": round(sum(map(rate, BYTE_COUNTERS)), 1),
            "peer_bytes_per_second": round(rate("peer_bytes_total"), 1),
            "platform_bytes_per_second": round(rate("platform_bytes_total"), 1),
            "load_poll_bytes_per_second": round(rate("load_poll_bytes_total"), 1),
            "platform_calls_per_second": round(rate("calls"), 3),
            "peer_messages_per_second": round(rate("messages"), 2),
            "tokens_per_second": round(rate("tokens"), 1),
            "changes_per_minute": round(60 * rate("changes"), 2),
            "memory_kb": memory_kb(pid), "threads": threads(pid),
            "platform_counts_per_second": {
                kind: round((count - before["counts"].get(kind, 0)) / seconds, 2)
                for kind, count in after["counts"].items()
            },
        }


def slope(points):
    """Least-squares line: the cost of each further unit, and that of none."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    each = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return {"each": round(each, 6), "at_zero": round(mean_y - each * mean_x, 3)}


def measure(points, seconds, emit):
    """Measures all points at the same time, under the same noise of the machine."""
    with contextlib.ExitStack() as stack:
        for point in points:
            stack.enter_context(point.cluster)
            point.start()
        changing = [
            threading.Thread(target=point.publish_changes)
            for point in points
            if point.changes_per_minute
        ]
        for point in points:
            if point.streams:
                point.start_streams()
        time.sleep(4)  # For start-up and the first full exchange between peers.
        for thread in changing:
            thread.start()
        for point in points:
            if point.keyed_calls:
                point.start_keyed_calls(seconds)
        before = [point.sample() for point in points]
        time.sleep(seconds)
        results = [
            point.result(first, point.sample()) for point, first in zip(points, before)
        ]
        for point in points:
            point.stopping.set()
        for thread in changing:
            thread.join()
        for point, result in zip(points, results):
            if point.load:
                load = point.cluster.load_result(point.load)
                for part in ("completions", "service_calls", "token_interval_ms"):
                    result[part] = load[part]
                if point.keyed_calls:
                    result["bytes_per_claim"] = bytes_per_claim(point.cluster)
    for point, result in zip(points, results):
        emit(benchmark="control", figure="run", by=point.name, value=point.value, **result)
    return results


def run(quick, emit):
    seconds = 12 if quick else 15
    sizes = {
        "peers": [0, 3, 7] if quick else [0, 4, 8, 16, 24],
        "endpoints": [4, 16, 40] if quick else [4, 32, 64, 128],
        "endpoints_with_peers": [4, 16, 40] if quick else [4, 32, 64],
        "listed_vms": [0, 100, 300] if quick else [0, 100, 300, 940],
        "keyed_calls": [2, 10, 30] if quick else [2, 10, 30, 90],
        "streams": [10, 80, 200],
        "accounts": [100, 10000, 33000],
        "changes_per_minute": [0, 15, 40] if quick else [0, 6, 20, 60],
    }
    arguments = {
        "peers": lambda n: {"peers": n},
        "endpoints": lambda n: {"endpoints": n},
        "endpoints_with_peers": lambda n: {"endpoints": n, "peers": PEERS_WITH_ENDPOINTS},
        "listed_vms": lambda n: {"listed_vms": n},
        "keyed_calls": lambda n: {"keyed_calls": n, "peers": 2},
        "streams": lambda n: {"streams": n},
        "accounts": lambda n: {"account_count": n},
        "changes_per_minute": lambda n: {
            "changes_per_minute": n, "account_count": 3300 if quick else 33000
        },
    }
    groups = [
        [DataPoint(name, n, **arguments[name](n)) for n in values]
        for name, values in sizes.items()
    ]
    # The quick run has no time to measure the groups one after another.
    batches = [sum(groups, [])] if quick else groups
    results = []
    for batch in batches:
        # Streams last 17 s, and the measurement begins 4 s after they start.
        length = 12 if any(point.streams for point in batch) else seconds
        results += measure(batch, length, emit)
    found = dict(zip(((p.name, p.value) for p in sum(groups, [])), results))
    for name, values in sizes.items():
        rows = [found[name, n] for n in values]
        by = lambda pick: slope([(n, pick(row)) for n, row in zip(values, rows)])
        emit(
            benchmark="control", figure="slope", by=name, points=values,
            cpu_percent=by(lambda row: row["cpu_percent"]),
            bytes_per_second=by(lambda row: row["bytes_per_second"]),
            rss_kb=by(lambda row: row["memory_kb"]["VmRSS"]),
            platform_calls_per_second=by(lambda row: row["platform_calls_per_second"]),
            platform_writes_per_second=by(
                lambda row: row["platform_counts_per_second"].get("writes", 0)
            ),
            platform_reads_per_second=by(
                lambda row: row["platform_counts_per_second"].get("reads", 0)
                + row["platform_counts_per_second"].get("watches", 0)
            ),
        )
