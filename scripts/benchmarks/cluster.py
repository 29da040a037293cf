"""A cluster of real processes on loopback: emulators, routers and a document."""
import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import re
import socket
import subprocess
import tempfile
import time

TOP = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = TOP / os.environ.get("BUILD", "build")
LAYERS = 24
MODEL = "ledger"
ACCOUNTS = {"large": 6, "middle": 3, "small": 1}  # Shares of the calls.
START_SECONDS = 15


@dataclasses.dataclass(frozen=True)
class Engine:
    name: str
    domain: str
    first: int
    end: int
    micros_per_layer: int
    slots: int = 4
    delay_ms: int = 0  # One-way delay of the link to this engine.

    @property
    def token_micros(self):
        return (self.end - self.first) * self.micros_per_layer


def request(address, method, path, body=None, timeout=5):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


def wait_until(condition, what, seconds=START_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise RuntimeError("timed out waiting for " + what)


def table(header, **values):
    """One TOML table; the JSON form of strings and numbers is valid TOML."""
    return header + "\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in values.items())


def account_table(name, **values):
    key = hashlib.sha256(("key-" + name).encode()).hexdigest()
    return table("[[account]]", name=name, key_sha256=[key], **values)


def cpu_seconds(pid):
    """User and system time of the process, including its ended threads."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Cluster:
    """Starts the processes, and ends them by process id on exit."""

    def __init__(self, engines=(), services=0, links=()):
        self.directory = tempfile.TemporaryDirectory(prefix="parsleyring-bench-")
        self.files = pathlib.Path(self.directory.name)
        self.processes = {}
        self.address = {}
        self.version = 0
        self.engines = list(engines)
        self.links = list(links)
        self.services = [f"service-{i}" for i in range(services)]
        self.routers = {}
        self.base_text = ""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()

    def start(self, name, program, *arguments, output=None):
        with open(output or os.devnull, "wb") as out, open(
            self.files / f"{name}.err", "ab"
        ) as errors:
            self.processes[name] = subprocess.Popen(
                [BUILD / program, *map(str, arguments)], stdout=out, stderr=errors
            )

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def start_emulator(self, name, *arguments):
        output = self.files / f"{name}.out"
        listen = self.address.get(name, "127.0.0.1:0")
        self.start(
            name, "parsleyring-emulator", *arguments, "--listen", listen, output=output
        )

    def read_addresses(self, names, label="listening"):
        """Waits until the emulators have printed their addresses."""
        for name in names:
            output = self.files / f"{name}.out"
            found = lambda: re.search(rf"^{label} (\S+)$", output.read_text(), re.M)
            wait_until(found, name)
            key = name if label == "listening" else f"{name} {label}"
            self.address[key] = found().group(1)

    def start_engine(self, engine, report_lag_ms=0):
        self.start_emulator(
            engine.name, "engine", "--endpoint", engine.name,
            "--first-layer", engine.first, "--end-layer", engine.end,
            "--token-micros", engine.token_micros, "--slots", engine.slots,
            "--report-lag-ms", report_lag_ms,
        )

    def start_endpoints(self, report_lag_ms=0):
        self.start_emulator(
            "platform", "platform",
            "--reads-per-second", 20000, "--writes-per-second", 5000,
        )
        for engine in self.engines:
            self.start_engine(engine, report_lag_ms)
        for service in self.services:
            self.start_emulator(service, "service", "--endpoint", service, "--delay-ms", 5)
        engines = [engine.name for engine in self.engines]
        self.read_addresses(["platform"] + engines + self.services)
        delayed = [engine for engine in self.engines if engine.delay_ms]
        for engine in delayed:
            self.start_emulator(
                "proxy-" + engine.name, "proxy", "--to", self.address[engine.name]
            )
        self.read_addresses(["proxy-" + engine.name for engine in delayed])
        self.read_addresses(["proxy-" + engine.name for engine in delayed], "admin")
        for engine in delayed:
            request(
                self.address[f"proxy-{engine.name} admin"], "POST", "/admin/faults",
                json.dumps({"delay_ms": engine.delay_ms}),
            )

    def endpoint_address(self, name):
        return self.address.get("proxy-" + name, self.address[name])

    def document(self, strategy="estimated-cost", accounts="", queue_limit=200):
        parts = [
            table("[policy]", preference="throughput", route_strategy=strategy),
            table("[[pipeline]]", name=MODEL, layers=LAYERS, pool="engines", max_tokens=512),
            table("[[pool]]", name="engines", kind="engine", queue_limit=queue_limit),
        ]
        for engine in self.engines:
            parts.append(table(
                "[[pool.endpoint]]", name=engine.name,
                address=self.endpoint_address(engine.name),
                failure_domain=engine.domain,
                accelerator=f"emulated-{engine.micros_per_layer}",
                first_layer=engine.first, end_layer=engine.end,
                slots=engine.slots, token_micros=engine.token_micros,
            ))
        if self.services:
            parts.append(table("[[pool]]", name="registry", kind="service"))
        for service in self.services:
            parts.append(table(
                "[[pool.endpoint]]", name=service, address=self.address[service],
                failure_domain="fd-a", accelerator="none",
            ))
        if self.services:
            parts.append(table(
                "[[rule]]", pool="registry", method="POST", path="/once",
                idempotent=False,
            ))
        for begin, end, micros in self.links:
            parts.append(table(
                "[[link]]", **{"from": begin, "to": end, "one_way_micros": micros}
            ))
        parts += [
            account_table(
                name, share=share, requests_per_second=1e6, max_outstanding=100000
            )
            for name, share in ACCOUNTS.items()
        ]
        return "".join(parts) + accounts

    def publish(self, text):
        file = self.files / "document.toml"
        file.write_text(text)
        subprocess.run(
            [
                BUILD / "parsleyring-load", "publish", "--platform",
                self.address["platform"], "--document", file,
                "--base-version", str(self.version),
            ],
            check=True, stdout=subprocess.DEVNULL, timeout=60,
        )
        self.version += 1

    def wait_for_version(self):
        for name in self.routers:
            wait_until(
                lambda: self.metrics(name)["configuration_version"] >= self.version,
                f"version {self.version} at {name}",
            )

    def add_routers(self, count, domain="fd-a", limits=None):
        """Writes settings of routers that are peers of each other, on free ports."""
        sockets = [socket.socket() for _ in range(2 * count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        names = [f"vm-{i}" for i in range(count)]
        for i, name in enumerate(names):
            self.address[name] = f"127.0.0.1:{ports[2 * i]}"
            self.routers[name] = f"127.0.0.1:{ports[2 * i + 1]}"
        for name in names:
            text = table("[vm]", id=name, failure_domain=domain)
            text += table("[listen]", callers=self.address[name], peers=self.routers[name])
            text += table("[platform]", address=self.address["platform"])
            text += table("[limits]", **(limits or {"drain_lead_ms": 0}))
            for other in names:
                if other != name:
                    text += table(
                        "[[peer]]", id=other, address=self.routers[other],
                        failure_domain=domain,
                    )
            (self.files / f"{name}.toml").write_text(text)

    def start_router(self, name):
        self.start(name, "parsleyring-router", "--config", self.files / f"{name}.toml")

    def wait_until_ready(self):
        for name in self.routers:
            wait_until(
                lambda: request(self.address[name], "GET", "/readyz")[0] == 200, name
            )

    def metrics(self, name):
        """Metrics without labels, by name without the prefix parsleyring_."""
        page = request(self.address[name], "GET", "/metrics")[1]
        return {
            key: float(value)
            for key, value in re.findall(r"^parsleyring_(\w+) (\S+)$", page, re.M)
        }

    def router_cpu_seconds(self):
        return sum(cpu_seconds(self.processes[name].pid) for name in self.routers)

    def platform_counts(self):
        return json.loads(request(self.address["platform"], "GET", "/admin/counts")[1])

    def set_key(self, key, value):
        """Creates a key in the platform emulator, unless it exists."""
        request(self.address["platform"], "PUT", f"/v1/kv/{key}?cas=0", value)

    def start_load(self, *arguments):
        """Starts the load tool; load_result() reads its output."""
        accounts = [f"key-{name}={share}" for name, share in ACCOUNTS.items()]
        return subprocess.Popen(
            [
                BUILD / "parsleyring-load", "run", "--model", MODEL,
                "--router", *(self.address[name] for name in self.routers),
                "--account", *accounts, *map(str, arguments),
            ],
            stdout=subprocess.PIPE, text=True,
        )

    def load_result(self, process, seconds=180):
        try:
            output, _ = process.communicate(timeout=seconds)
        finally:
            process.kill()
            process.wait()
        if process.returncode != 0:
            raise RuntimeError("the load tool failed")
        return json.loads(output)
