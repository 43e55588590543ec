"""Stand-ins and process control for the scripts of cases 6 to 10.

Runs the project's daemon with the settings of deploy/gateway.ini and deploy/control.ini, each process on a loopback
address of its own, beside stand-ins for the platform, the backends, the operator and the clients.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(REPOSITORY, "target", "apps", "banyanledged")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of sites/coffi-hub.toml, in seconds.
CONTACT_S, CONFIG_APPLY_S, EVACUATE_S, CATCH_UP_S, GRACE_S = 3.0, 2.0, 5.0, 4.0, 6.0
MEMORY_MB = 260
ZONES = {"cardiff": "south-wales", "bangor-b": "north-wales", "aber-prom": "mid-wales", "swansea": "south-wales",
         "wrexham": "north-wales", "newtown": "mid-wales"}
INTERNAL, METRICS, FRONT, READY, CONTROL, DIRECTORY = 7740, 7741, 8686, 8680, 8688, 8690
OPERATOR_TIMEOUT_S = 1.0


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


async def read_message(reader):
    """Reads one HTTP message; returns (start line, headers, body), or None without a complete one."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return head[0], headers, body
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError, OSError):
        return None


def request_bytes(method, target, host, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"] + [f"{n}: {v}" for n, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(ip, port, method, target, headers=None, body=b"", timeout=OPERATOR_TIMEOUT_S, host="control"):
    """One request on a new connection; returns (status, headers, body), or None."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(request_bytes(method, target, host, headers or {}, body))
            message = await read_message(reader)
            return message and (int(message[0].split()[1]), message[1], message[2])
    except (TimeoutError, OSError):
        return None
    finally:
        if writer:
            writer.close()


class Machine:
    """A process of the system: its name, address and running process."""

    def __init__(self, name, role, zone, ip):
        self.name, self.role, self.zone, self.ip = name, role, zone, ip
        self.process = None
        self.started = False  # has been started before, so Bootstrap is false

    def running(self):
        return self.process is not None and self.process.returncode is None


class Backend:
    """A stand-in backend: runs a request for `work_s` and answers with its signature."""

    def __init__(self, fleet, name, service, zone, ip, port, slots=8):
        self.fleet, self.name, self.service, self.zone, self.ip, self.port = fleet, name, service, zone, ip, port
        self.slots = slots
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            try:
                await self.answer(message, writer)
                await writer.drain()
            except OSError:
                break
        writer.close()

    async def answer(self, message, writer):
        line, headers, body = message
        method, target, _ = line.split(" ", 2)
        if target == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        request_id = headers.get("x-request-id", "")
        echo = f"X-Request-Id: {request_id}\r\n"
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return
        self.running += 1
        self.fleet.arrived(self, request_id, method, target, headers, body)
        await asyncio.sleep(self.fleet.work_s(target))
        self.running -= 1
        content = f"{self.name} {request_id} {target}".encode()
        writer.write((f"HTTP/1.1 200 OK\r\n{echo}X-Response-Signature: {self.name}.{request_id}\r\n"
                      f"X-Backend-Load: {self.running},0,{self.slots}\r\nContent-Length: {len(content)}\r\n\r\n"
                      ).encode() + content)


class Fleet:
    def __init__(self, folder):
        self.case_folder = folder
        self.folder = tempfile.mkdtemp(prefix="banyanledge-review-")
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.block = self.free_block()
        self.next_ip = {}
        self.machines, self.backends = {}, {}
        self.seeds = []
        self.bootstrapped = False
        self.runs = {}  # request id -> [(time, backend, target, tenant)]
        self.silent = []  # sockets that stand for machines without power
        self.on_arrival = None
        self.edit_settings = None  # changes the text of a settings file, if the case needs it

    # ------------------------------------------------------------------ addresses and records
    @staticmethod
    def free_block():
        for _ in range(200):
            block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            if all(is_free(f"{block}.{last}", port) for last in (1, 60, 120, 240)
                   for port in (INTERNAL, METRICS, FRONT, READY, CONTROL, DIRECTORY)):
                return block
        raise CannotRun("no block of free loopback addresses")

    def log(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()

    def ip(self, last):
        return f"{self.block}.{last}"

    def now(self):
        return time.monotonic() - self.start

    # ------------------------------------------------------------------ backends and platform
    def arrived(self, backend, request_id, method, target, headers, body):
        self.runs.setdefault(request_id, []).append(
            (self.now(), backend.name, target, headers.get("x-tenant"), len(body)))
        self.log(f"backend {backend.name}: runs {request_id}")
        if self.on_arrival:
            self.on_arrival(backend, request_id, method, target, headers, body)

    def work_s(self, target):
        return 0.02

    async def add_backend(self, name, service, zone, slots=8):
        backend = Backend(self, name, service, zone, self.ip(240), 20000 + len(self.backends), slots)
        await backend.start()
        self.backends[name] = backend

    async def start_platform(self):
        async def serve(reader, writer):
            while await read_message(reader):
                entries = {b.name: {"Service": b.service, "Address": f"{b.ip}:{b.port}", "Zone": b.zone,
                                    "Version": "v1", "Slots": b.slots, "State": "ready", "WarmupLeftMs": 0}
                           for b in self.backends.values()}
                body = json.dumps({"Instances": entries, "NextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
            writer.close()

        await asyncio.start_server(serve, self.ip(241), 8682)

    # ------------------------------------------------------------------ processes
    def add_machine(self, name, role, zone, last):
        self.machines[name] = Machine(name, role, zone, self.ip(last))
        return self.machines[name]

    def controls(self):
        return [m for m in self.machines.values() if m.role == "control" and m.running()]

    def fronts(self):
        return [m for m in self.machines.values() if m.role == "gateway" and m.running()]

    def settings(self, machine):
        """The text of deploy/ROLE.ini with its placeholders filled in."""
        with open(os.path.join(REPOSITORY, "deploy", f"{machine.role}.ini")) as file:
            text = file.read()
        seeds = ",".join(f"{self.machines[s].ip}:{CONTROL}" for s in self.seeds)
        zones = ",".join(f"{zone}={region}" for zone, region in ZONES.items())
        text = re.sub(r"\{\{#Seeds\}\}.*?\{\{/Seeds\}\}", seeds, text)
        text = re.sub(r"\{\{#Zones\}\}.*?\{\{/Zones\}\}", zones, text)
        values = {"NodeName": machine.name, "Region": ZONES[machine.zone], "Zone": machine.zone, "Ip": machine.ip,
                  "InternalPortRange.0": str(INTERNAL), "Listen.Front": f"{machine.ip}:{FRONT}",
                  "Listen.Ready": f"{machine.ip}:{READY}", "Listen.Directory": f"{machine.ip}:{DIRECTORY}",
                  "Listen.Control": f"{machine.ip}:{CONTROL}", "Limits.LinkMbps": "1000.0",
                  "DataDir": os.path.join(self.folder, machine.name),
                  "Bootstrap": "true" if not self.bootstrapped else "false", "FaultTolerance.Machines": "2",
                  "Cloud.Address": f"{self.ip(241)}:8682", "Bounds.RetryBudgetRatio": "0.2",
                  "Bounds.RetryWindowS": "10", "Bounds.RetryBudgetSlack": "56", "Bounds.WarmupOvershoot": "1.5",
                  "Bounds.WarmupSlack": "5", "Bounds.MaxRegionShift": "0.15", "Bounds.QuotaOvershoot": "0.1",
                  "Bounds.QuotaSlack": "20"}
        text = re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", lambda match: values[match.group(1)], text)
        return self.edit_settings(machine, text) if self.edit_settings else text

    async def launch(self, name):
        machine = self.machines[name]
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w") as file:
            file.write(self.settings(machine))
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        machine.process = await asyncio.create_subprocess_exec(
            DAEMON, "--config", path, stdout=log, stderr=log, cwd=REPOSITORY)
        log.close()
        self.log(f"start {name} at {machine.ip}")

    async def stop(self, name, signal_number, wait=True):
        machine = self.machines[name]
        if machine.running():
            machine.process.send_signal(signal.SIGCONT)
            machine.process.send_signal(signal_number)
            self.log(f"signal {signal.Signals(signal_number).name} to {name}")
        if wait and machine.process:
            await machine.process.wait()

    def power_off_address(self, name):
        """From now on the address of a machine that is gone accepts no connection and answers nothing: a connection
        attempt hangs, as it does at a machine without power."""
        ip = self.machines[name].ip
        for port in (INTERNAL, CONTROL):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((ip, port))
            listener.listen(0)
            self.silent.append(listener)
            for _ in range(3):  # fills the queue of new connections
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((ip, port))
                self.silent.append(filler)

    # ------------------------------------------------------------------ operator
    async def order(self, method, target, body=b"", deadline_s=8.0, first=None):
        """An order of the operator: sent to one control machine after the other until it is acknowledged. Returns the
        time of the ack, or None."""
        end = time.monotonic() + deadline_s
        order = random.sample(self.controls(), len(self.controls()))
        if first:
            order.sort(key=lambda machine: machine.name != first)
        number = 0
        while time.monotonic() < end:
            machine = order[number % len(order)]
            number += 1
            answer = await call(machine.ip, CONTROL, method, target, body=body)
            self.log(f"operator: {method} {target} to {machine.name}: {answer and answer[0]}")
            if answer and answer[0] == 200:
                return self.now()
            await asyncio.sleep(0.05 * min(number, 6))
            order = [m for m in order if m.running()] or self.controls()
        return None

    async def put(self, desired, **options):
        return await self.order("POST", "/api/config/put", json.dumps(desired).encode(), **options)

    async def leader(self):
        """Name of the control machine whose metrics say that it leads; for the record and to choose a victim."""
        for machine in self.controls():
            answer = await call(machine.ip, METRICS, "GET", "/metrics", timeout=0.5)
            if answer and re.search(rb"^banyanledge_control_leads(\{[^}]*\})? 1", answer[2], re.M):
                return machine.name
        return None

    async def start_all(self, desired, controls, fronts):
        if not os.path.exists(DAEMON):
            raise CannotRun(f"{DAEMON} is missing; run the build of deploy/system.toml")
        await self.start_platform()
        self.seeds = controls[:3]
        await asyncio.gather(*(self.launch(name) for name in controls + fronts))
        self.bootstrapped = True
        if await self.put(desired, deadline_s=40) is None:
            raise CannotRun("the first desired state was not acknowledged")
        end = time.monotonic() + 20
        while time.monotonic() < end:
            ready = [await call(m.ip, READY, "GET", "/api/ready", timeout=0.5) for m in self.fronts()]
            if all(answer and answer[0] == 200 for answer in ready):
                self.log("all fronts are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the fronts were not ready within 20 s")

    # ------------------------------------------------------------------ clients
    async def request(self, front, method, target, host, key, request_id, deadline_ms=1500, body=b""):
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms, "Authorization": f"Bearer {key}"}
        self.log(f"client: sends {request_id} to {front}")
        return await call(self.machines[front].ip, FRONT, method, target, headers, body, deadline_ms / 1000, host)

    def close(self):
        for machine in self.machines.values():
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for sock in self.silent:
            sock.close()

    async def end(self):
        self.close()
        for machine in self.machines.values():
            if machine.process:
                await machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case, limit_s=115):
    """Runs `case(fleet)`, which returns a list of breaks of the rule; exits with 1 if there is one, 0 if there is none,
    2 if the case could not run."""
    async def run():
        fleet = Fleet(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # ends the processes also when it is ended itself
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                breaks = await case(fleet)
            for text in breaks:
                fleet.log(f"BROKEN: {text}")
            fleet.log(f"{len(breaks)} breaks; TROUBLE={int(TROUBLE)}")
            print(f"{len(breaks)} breaks of the rule" + "".join(f"\n  {text}" for text in breaks[:5]))
            return 1 if breaks else 0
        except (Exception, asyncio.CancelledError) as error:  # a failure of the script says nothing about the rule
            fleet.log(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await fleet.end()

    sys.exit(asyncio.run(run()))
