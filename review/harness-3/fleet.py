"""A small deployment on loopback addresses: the project's programs, and stand-ins for platform, backends and operator.

The processes run with the commands and settings templates of deploy/. Each machine has a loopback address of its own.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = {"z1": "north", "z2": "south", "z3": "west"}
KEY = "key-of-tenant-one"
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
          "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "MaxSkewMs": 5000,
          "StrictRevocation": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
          "RetryBudgetSlack": 56, "QuotaWindowS": 5, "QuotaOvershoot": 0.1, "QuotaSlack": 20, "WarmupOvershoot": 1.5,
          "WarmupSlack": 5, "EvacuateMs": 5000, "RecoveryS": 15, "ttl_max_s": 5, "MaxRegionShift": 0.15}


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes, as far as the templates of deploy/ use it."""
    def value(path, scope):
        for part in path.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope.get(part)
            if scope is None:
                return ""
        if isinstance(scope, bool):
            return "true" if scope else "false"
        if isinstance(scope, list):
            return ",".join(str(entry) for entry in scope)
        return str(scope)

    def section(match):
        entries = fields.get(match.group(1)) or []
        pairs = list(entries.items()) if isinstance(entries, dict) else list(enumerate(entries))
        texts = []
        for position, (key, entry) in enumerate(pairs):
            text = match.group(2).replace("{{.}}", str(entry)).replace("{{@}}", str(key))
            texts.append(text.replace("{{,}}", "" if position + 1 == len(pairs) else ","))
        return "".join(texts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match.group(1), fields), text)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Machine:
    def __init__(self, name, kind, zone, ip):
        self.name, self.kind, self.zone, self.ip = name, kind, zone, ip
        self.process = None
        self.starts = 0


class Fleet:
    def __init__(self, record, cores=5, fronts=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="banyanledge-review-")
        self.net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        self.rpc_port = self.free_port()
        self.front_port, self.ready_port, self.directory_port, self.control_port = (self.free_port() for _ in range(4))
        zones = list(ZONES)
        self.cores = [Machine(f"core-{i + 1}", "core", zones[i % 3], f"{self.net}.{10 + i}") for i in range(cores)]
        self.fronts = [Machine(f"front-{i + 1}", "front", zones[i % 3], f"{self.net}.{40 + i}") for i in range(fronts)]
        self.platform_address = f"{self.net}.5:{self.free_port()}"
        self.bootstrap = True
        self.backends = {}
        self.servers = []
        self.version = 0
        self.closed, self.started = False, []

    def free_port(self):
        while True:
            port = random.SystemRandom().randrange(12000, 31000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    # -------------------------------------------------------------- processes
    def fields(self, machine):
        core = machine.kind == "core"
        seeds = [f"{core.ip}:{self.control_port}" for core in self.cores[:3]]
        listen = {"Control": f"{machine.ip}:{self.control_port}"} if core else {
            "Front": f"{machine.ip}:{self.front_port}", "Ready": f"{machine.ip}:{self.ready_port}",
            "Directory": f"{machine.ip}:{self.directory_port}"}
        return {"NodeName": machine.name, "Ip": machine.ip, "Zone": machine.zone, "Region": ZONES[machine.zone],
                "Zones": ZONES, "Listen": listen, "InternalPortRange": [self.rpc_port, self.rpc_port + 15],
                "Seeds": seeds, "Bootstrap": self.bootstrap, "DataDir": os.path.join(self.folder, machine.name),
                "Limits": {"LinkMbps": 1000.0, "MemoryMb": 256 if core else 260},
                "FaultTolerance": {"Machines": (len(self.cores) - 1) // 2, "Zones": 1, "Regions": 1}, "Bounds": BOUNDS,
                "Cloud": {"Address": self.platform_address, "RatePerS": 44.0, "MaxLagMs": 800}}

    def start(self, machine):
        if self.closed:
            return
        template = os.path.join(ROOT, "deploy", "control.ini" if machine.kind == "core" else "gateway.ini")
        settings = os.path.join(self.folder, machine.name + ".settings")
        with open(template) as source, open(settings, "w") as target:
            target.write(render(source.read(), self.fields(machine)))
        machine.starts += 1
        with open(os.path.join(self.folder, f"{machine.name}.log"), "ab") as log:
            machine.process = subprocess.Popen([os.path.join(ROOT, "target/apps/banyanledged"), "--config", settings],
                                               stdout=log, stderr=log, cwd=ROOT, env=self.environment(), start_new_session=True)
        self.started.append(machine.process)
        self.record(f"{machine.name} started, pid {machine.process.pid}")

    def environment(self):
        """DEPLOY.md: no variables from the caller but these. The users' bench sets MALLOC_ARENA_MAX, too."""
        names = ("PATH", "HOME", "JAVA_HOME", "LANG", "MALLOC_ARENA_MAX")
        return {name: os.environ[name] for name in names if name in os.environ}

    def signal(self, machine, number):
        self.record(f"{machine.name} gets {signal.Signals(number).name}")
        machine.process.send_signal(number)

    def kill(self, machine):
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()

    def stop_all(self):
        for machine in self.cores + self.fronts:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def close(self):
        """Ends all processes and stand-ins."""
        self.closed = True
        self.stop_all()
        left = [process.pid for process in self.started if process.poll() is None]
        self.record(f"{len(self.started)} processes were started, {len(left)} are left {left}")
        for server in self.servers:
            server.close()
        await asyncio.sleep(0.3)

    # -------------------------------------------------------------- platform
    def add_backend(self, name, service, zone, handler, slots=4, address=None):
        """Adds a backend; `handler(reader, writer)` serves its connections."""
        address = address or f"{self.net}.{100 + len(self.backends)}:{self.free_port()}"
        self.backends[name] = {"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": slots,
                               "State": "ready", "WarmupLeftMs": 0}
        return address

    async def serve_platform(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                body = json.dumps({"Instances": self.backends, "NextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def listen(self, address, handler, limit=1 << 20):
        async def serve(reader, writer):
            try:
                await handler(reader, writer)
            except (asyncio.CancelledError, OSError):
                pass  # the script ends, or the other side has
            finally:
                writer.close()

        host, port = address.rsplit(":", 1)
        self.servers.append(await asyncio.start_server(serve, host, int(port), limit=limit, backlog=1000))

    # -------------------------------------------------------------- operator
    def declaration(self, routes, services, tenants=None, limits=None, version=None):
        self.version = version or self.version + 1
        return {"Version": f"{self.version:08x}", "Routes": routes, "Services": services,
                "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                                     "IdleTimeoutMs": 15000},
                "Tenants": tenants or []}

    async def order(self, method, path, body=None, cores=None, timeout=1.0):
        """One order as the operator sends it: to one control host after the other, until a clear answer comes."""
        targets = cores or self.cores
        for attempt in range(60):
            core = targets[attempt % len(targets)]
            answer = await call(f"{core.ip}:{self.control_port}", method, path,
                                {"Content-Type": "application/json"}, json.dumps(body).encode() if body else b"",
                                timeout=timeout, host="control")
            self.record(f"operator {method} {path} at {core.name}: {answer and answer[0]}")
            if answer and answer[0] < 500 and answer[0] not in (408, 429):
                return answer
            await asyncio.sleep(0.1)
        return None

    async def start_all(self, routes, services, tenants=None, limits=None):
        """Starts all machines and waits until the first desired state is in force on the front machines."""
        await self.listen(self.platform_address, self.serve_platform)
        for machine in self.cores + self.fronts:
            self.start(machine)
        self.bootstrap = False
        await asyncio.sleep(1.0)
        answer = await self.order("POST", "/api/config/put", self.declaration(routes, services, tenants, limits))
        if not answer or answer[0] != 200:
            raise RuntimeError("the first desired state was not acknowledged")
        end = time.monotonic() + 15
        for front in self.fronts:
            while True:
                answer = await call(f"{front.ip}:{self.ready_port}", "GET", "/api/ready", timeout=1.0, host="ready")
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(f"{front.name} did not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.record("all front machines are ready")


async def read_message(reader):
    """Reads an HTTP message: start line, headers by lower-case name, body. None if it is incomplete or invalid."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip().split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return head[0], headers, body
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError, OSError):
        return None


async def exchange(reader, writer, method, target, headers=None, body=b"", host="shop.example"):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    message = await read_message(reader)
    return message and (int(message[0].split()[1]), message[1], message[2])


async def call(address, method, target, headers=None, body=b"", timeout=4.0, host="shop.example"):
    """Sends a request on a new connection; (status, headers, body), or None without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 20)
            return await exchange(reader, writer, method, target, headers, body, host)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer:
            writer.close()


def route(name, prefix, kind, service, **other):
    result = {"Name": name, "Host": "shop.example", "PathPrefix": prefix, "Type": kind, "TimeoutMs": 1500,
              "TargetLatencyMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2, "Public": False,
              "CacheAffinity": True, "HomeRegions": []}
    result.update(other)
    return result


def service(name, **other):
    result = {"Name": name, "HealthPath": "/health", "MaxConnections": 330, "Protocol": "h1", "Tls": False,
              "WarmupS": 3.0, "WarmupPerS": 21.0}
    result.update(other)
    return result


def tenant(name="one", **other):
    result = {"Name": name, "ApiKeys": [KEY], "Priority": 1, "RatePerS": 1000, "Burst": 1000, "HomeRegions": []}
    result.update(other)
    return result


def memory_mb(pid, field="RssAnon"):
    """Memory of a process in MB, without program and libraries."""
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def main(folder, create_case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"TROUBLE={int(trouble)}")

    async def run():
        running = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
        case = create_case(record, trouble)
        try:
            return await case.run()
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"could not run: {error!r}")
            return 2
        finally:
            await case.fleet.close()

    code = asyncio.run(run())
    record.say(f"exit {code}")
    sys.exit(code)
