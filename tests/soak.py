#!/usr/bin/env python3
"""Randomized soak test with fault injection: real control and gateway processes on loopback.

Usage: tests/soak.py [--seed N] [--seconds S] [--daemon PATH] [--keep]

Callers, backend servers and an operator are simulated by this script, which checks from what they observe:
  - an unsafe request is executed at most once, and never if it was refused with 429 or 503
  - a response belongs to its request and is complete
  - no API key reaches a backend server
  - a read never returns a declaration older than one acknowledged before the read
  - an evacuated availability zone receives no requests
  - acknowledged declarations are not lost
Prints the seed, a line for each failed check, and "N passed, N failed" at the end; exits with 1 if a check failed.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ZONES = {"z1": "north", "z2": "south"}
KEY = "soak-key"
EVACUATION_BOUND_S = 5.0  # servers of the zone must receive no requests this long after the acknowledgement
CALLER_TIMEOUT_S = 4.0


def free_port(taken=set()):
    """Picks an unused port below the ephemeral range; an outgoing connection could take a port of that range first."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


async def read_message(reader):
    """Reads an HTTP message: start line, headers by lower-case name, body. Returns None if incomplete or invalid."""
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
                size = int((await reader.readline()).strip(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return head[0], headers, body
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        return None


async def call(address, method, target, headers=None, body=b"", timeout=CALLER_TIMEOUT_S):
    """Sends a request on a new connection; returns (status, headers, body), or None without a complete response."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1", "Host: soak.example", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            return message and (int(message[0].split()[1]), message[1], message[2])
    except (TimeoutError, OSError):
        return None
    finally:
        if writer:
            writer.close()


class Proxy:
    """TCP proxy in front of one backend server. `mode` is the fault injected into all its connections."""

    def __init__(self, target_port):
        self.target_port, self.mode, self.port, self.writers = target_port, "pass", 0, set()

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, server_writer}
        await asyncio.gather(self.forward(reader, server_writer, "up"), self.forward(server_reader, writer, "down"))
        self.writers -= {writer, server_writer}

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silent" or self.mode == f"silent-{direction}":
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Soak:
    def __init__(self, arguments):
        self.arguments = arguments
        self.random = random.Random(arguments.seed)
        self.folder = tempfile.mkdtemp(prefix="banyanledge-soak-")
        self.failures, self.check_count, self.served = [], 0, 0
        self.processes = {}  # asyncio process by name
        self.last_fault_end = {}  # end of the last pause or restart by process name
        self.servers, self.proxies = {}, {}
        self.runs, self.statuses = {}, {}  # executions and response status by request id
        self.acked_version, self.sent_version = 0, 0  # newest versions of the declaration
        self.evacuated = {}  # time of the acknowledgement by zone, None if not evacuated
        self.stopping = False

    def check(self, condition, failure):
        self.check_count += 1
        if not condition:
            self.failures.append(failure)
            print(f"FAILED seed {self.arguments.seed}: {failure}", flush=True)

    # ------------------------------------------------------------------ backend servers and the platform
    async def start_server(self, number):
        zone = list(ZONES)[number % len(ZONES)]
        name = f"s{number}"

        async def serve(reader, writer):
            while message := await read_message(reader):
                await self.handle_request(name, zone, message, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.proxies[name] = Proxy(server.sockets[0].getsockname()[1])
        await self.proxies[name].start()
        self.servers[name] = {"Service": "svc", "Address": f"127.0.0.1:{self.proxies[name].port}", "Zone": zone,
                              "Version": "v1", "Slots": 4, "State": "ready", "WarmupLeftMs": 0}

    async def handle_request(self, name, zone, message, writer):
        line, headers, body = message
        request_id = headers.get("x-request-id", "")
        id_header = f"X-Request-Id: {request_id}\r\n"
        try:
            if headers.get("x-expect-instance") != name:
                writer.write(f"HTTP/1.1 421 X\r\n{id_header}Content-Length: 0\r\n\r\n".encode())
                return
            self.check("authorization" not in headers, f"request {request_id} reached server {name} with a key")
            self.check(headers.get("x-tenant") == "cust", f"request {request_id} does not name the customer")
            since = self.evacuated.get(zone)
            if since and not any(time.monotonic() - end < EVACUATION_BOUND_S for end in self.last_fault_end.values()):
                self.check(time.monotonic() - since < EVACUATION_BOUND_S,
                           f"server {name} in the evacuated zone {zone} received request {request_id}")
            if self.random.random() < 0.05:
                writer.write(f"HTTP/1.1 503 X\r\n{id_header}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                return
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            if line.startswith("POST"):
                self.check(self.runs[request_id] == 1,
                           f"unsafe request {request_id} was executed {self.runs[request_id]} times")
                self.check(self.statuses.get(request_id) not in (429, 503),
                           f"refused request {request_id} was executed later")
            await asyncio.sleep(self.random.uniform(0.005, 0.08))
            if self.random.random() < 0.03:
                writer.transport.abort()  # executed, but the response is lost
                return
            content = f"{name}|{request_id}|".encode() + body * 3
            writer.write(f"HTTP/1.1 200 OK\r\n{id_header}X-Response-Signature: {name}\r\nX-Backend-Load: 1,0,4\r\n"
                         f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
            await writer.drain()
        except OSError:
            pass

    async def start_platform(self):
        async def serve(reader, writer):
            while await read_message(reader):
                body = json.dumps({"Instances": self.servers, "NextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.list_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    # ------------------------------------------------------------------ processes of the system
    def write_settings(self, name, zone, text):
        region = ZONES[zone]
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w") as file:
            file.write(f"[host]\nid = {name}\nregion = {region}\navailability_zone = {zone}\n"
                       f"rpc_listen = {self.rpc_address[name]}\nworkers = 1\n{text}")

    def write_all_settings(self):
        self.controls = [f"c{i}" for i in range(3)]
        self.gateways = [f"g{i}" for i in range(3)]
        self.rpc_address = {name: f"127.0.0.1:{free_port()}" for name in self.controls + self.gateways}
        self.api_address = {name: f"127.0.0.1:{free_port()}" for name in self.controls}
        self.gateway_address = {name: f"127.0.0.1:{free_port()}" for name in self.gateways}
        self.ready_address = {name: f"127.0.0.1:{free_port()}" for name in self.gateways}
        seeds = ", ".join(self.rpc_address[name] for name in self.controls)
        for name in self.gateways:
            self.write_settings(name, self.random.choice(list(ZONES)),
                                f"[entry]\ncontrol_hosts = {seeds}\n[gateway]\nenabled = true\nlisten = "
                                f"{self.gateway_address[name]}\nready_listen = {self.ready_address[name]}\n"
                                f"retry_slack = 60\n")
        self.write_control_settings(bootstrap=True)

    def write_control_settings(self, bootstrap):
        seeds = ", ".join(self.rpc_address[name] for name in self.controls)
        zones = ", ".join(f"{zone}={region}" for zone, region in ZONES.items())
        for name in self.controls:
            self.write_settings(name, "z1", f"[control]\nenabled = true\ndata_folder = {self.folder}/{name}\n"
                                f"seeds = {seeds}\nbootstrap = {str(bootstrap).lower()}\n"
                                f"declaration_listen = {self.api_address[name]}\n"
                                f"[platform]\nlist_address = {self.list_address}\nzone_regions = {zones}\n")

    async def start_process(self, name):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            self.arguments.daemon, "--config", os.path.join(self.folder, f"{name}.ini"), stdout=log, stderr=log)

    async def stop_process(self, name, signal_number):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal_number)
        await process.wait()

    # ------------------------------------------------------------------ operator and callers
    def declaration(self, version):
        route = {"Host": "soak.example", "TimeoutMs": 2000, "MaxAttempts": 3, "CacheAffinity": True, "Service": "svc"}
        return {"Version": f"{version:08x}",
                "Routes": [dict(route, Name="safe", PathPrefix="/safe/", Type="safe"),
                           dict(route, Name="unsafe", PathPrefix="/unsafe/", Type="unsafe")],
                "Services": [{"Name": "svc", "WarmupS": 1.0, "WarmupPerS": 50.0}],
                "Tenants": [{"Name": "cust", "ApiKeys": [KEY], "RatePerS": 2000, "Burst": 2000}]}

    async def post_change(self, target, body=b""):
        """Posts a change to random control hosts until one acknowledges it; returns False if the test ends before."""
        while not self.stopping:
            response = await call(self.api_address[self.random.choice(self.controls)], "POST", target, body=body,
                                  timeout=1.5)
            if response and response[0] == 200:
                return True
            self.check(not response or response[0] == 503, f"POST {target} was refused with {response and response[0]}")
            await asyncio.sleep(0.05)
        return False

    async def put_declaration(self):
        self.sent_version += self.random.randint(1, 3)
        version = self.sent_version
        if await self.post_change("/api/config/put", json.dumps(self.declaration(version)).encode()):
            self.acked_version = max(self.acked_version, version)

    async def change_periodically(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
            if self.random.random() < 0.6:
                await self.put_declaration()
            else:
                # At most one zone is evacuated at a time.
                zone = self.random.choice(list(ZONES))
                start = not any(self.evacuated.values())
                zone = zone if start else next(z for z, since in self.evacuated.items() if since)
                if not start:
                    self.evacuated[zone] = None
                if await self.post_change(f"/api/evacuations/{zone}/{'start' if start else 'end'}") and start:
                    self.evacuated[zone] = time.monotonic()

    async def read_periodically(self):
        while not self.stopping:
            await asyncio.sleep(0.1)
            acked_before = self.acked_version
            response = await call(self.api_address[self.random.choice(self.controls)], "GET", "/api/config/get",
                                  timeout=1.5)
            if response and response[0] == 200:
                read = int(json.loads(response[2])["Version"], 16)
                self.check(read >= acked_before, f"read version {read} after {acked_before} was acknowledged")

    async def send_request(self, number):
        unsafe = self.random.random() < 0.4
        request_id = f"r{number}"
        body = os.urandom(self.random.choice([10, 2000])).hex().encode() if unsafe else b""
        headers = {"X-Request-Id": request_id, "X-Affinity-Key": self.random.randrange(20), "X-Deadline-Ms": 2000,
                   "Authorization": f"Bearer {KEY}"}
        response = await call(self.gateway_address[self.random.choice(self.gateways)], "POST" if unsafe else "GET",
                            ("/unsafe/" if unsafe else "/safe/") + "x", headers, body)
        status = response[0] if response else None
        self.statuses[request_id] = status
        if status == 200:
            self.served += 1
            name, received_id, content = response[2].split(b"|", 2)
            self.check(received_id.decode() == request_id and content == body * 3,
                       f"request {request_id} got a wrong response")
            self.check(response[1].get("x-response-signature") == name.decode(),
                       f"the response to {request_id} has no signature of its server")
        elif status in (429, 503) and unsafe:
            self.check(request_id not in self.runs,
                       f"request {request_id} was refused with {status} after it had been executed")

    async def send_periodically(self):
        number = 0
        tasks = set()
        while not self.stopping:
            number += 1
            task = asyncio.create_task(self.send_request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.random.expovariate(60))
        await asyncio.gather(*tasks)

    # ------------------------------------------------------------------ faults
    async def inject_process_fault(self, name):
        kind = self.random.choice(["kill", "pause", "term", "hup", "wipe" if name in self.controls else "pause"])
        if kind == "pause":
            self.processes[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.1, 3.0))
            if self.processes[name].returncode is None:
                self.processes[name].send_signal(signal.SIGCONT)
            self.last_fault_end[name] = time.monotonic()
        elif kind == "hup":
            self.processes[name].send_signal(signal.SIGHUP)
        else:
            await self.stop_process(name, signal.SIGTERM if kind == "term" else signal.SIGKILL)
            if kind == "wipe":
                shutil.rmtree(os.path.join(self.folder, name))
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self.start_process(name)
            # A control host whose data was wiped has to catch up before the next fault.
            await asyncio.sleep(5.0 if name in self.controls else 0.0)
            self.last_fault_end[name] = time.monotonic()

    async def inject_process_faults(self, names):
        """Injects one fault at a time into `names`, so that the control hosts keep their quorum."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await self.inject_process_fault(self.random.choice(names))

    async def inject_link_faults(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            proxy = self.proxies[self.random.choice(list(self.proxies))]
            mode = self.random.choice(["delay", "refuse", "silent", "silent-up", "silent-down", "reset"])
            if mode == "reset":
                proxy.reset()
                continue
            proxy.mode = mode
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            proxy.mode = "pass"

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            responses = [await call(self.ready_address[name], "GET", "/api/ready", timeout=1) for name in self.gateways]
            if all(response and response[0] == 200 for response in responses):
                return True
            await asyncio.sleep(0.1)
        return False

    async def run(self):
        await self.start_platform()
        for number in range(6):
            await self.start_server(number)
        self.write_all_settings()
        for name in self.controls + self.gateways:
            await self.start_process(name)
        await self.put_declaration()
        self.check(await self.wait_ready(20), "the gateways were not ready after 20 s")
        self.write_control_settings(bootstrap=False)
        tasks = [asyncio.create_task(coroutine) for coroutine in
                 (self.send_periodically(), self.change_periodically(), self.read_periodically(),
                  self.inject_process_faults(self.controls), self.inject_process_faults(self.gateways),
                  self.inject_link_faults())]
        await asyncio.sleep(self.arguments.seconds)
        self.stopping = True
        await asyncio.gather(*tasks)
        self.check(self.served > 0, "no request was served")
        await self.check_recovery()
        for name in self.processes:
            await self.stop_process(name, signal.SIGTERM)

    async def check_recovery(self):
        """Checks after the last fault that acknowledged declarations are not lost and that requests are served."""
        for proxy in self.proxies.values():
            proxy.mode = "pass"
        self.check(await self.wait_ready(20), "the gateways were not ready 20 s after the last fault")
        response = None
        for _ in range(100):
            response = await call(self.api_address[self.random.choice(self.controls)], "GET", "/api/config/get",
                                  timeout=1.5)
            if response and response[0] == 200:
                break
            await asyncio.sleep(0.1)
        version = int(json.loads(response[2])["Version"], 16) if response and response[0] == 200 else 0
        self.check(version >= self.acked_version,
                   f"version {version} was read, but {self.acked_version} had been acknowledged")
        served_before = self.served
        for number in range(50):
            await self.send_request(f"end{number}")
        self.check(self.served - served_before >= 25,
                   f"only {self.served - served_before} of 50 requests were served after the last fault")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=random.randrange(1 << 31))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--daemon", default="build/apps/banyanledged")
    parser.add_argument("--keep", action="store_true",
                        help="keep settings, logs and data, as is always done if a check fails")
    soak = Soak(parser.parse_args())
    print(f"seed {soak.arguments.seed}, folder {soak.folder}", flush=True)
    try:
        asyncio.run(soak.run())
    finally:
        for process in soak.processes.values():
            if process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
    if not soak.failures and not soak.arguments.keep:
        shutil.rmtree(soak.folder)
    print(f"{soak.served} requests served, version {soak.acked_version} acknowledged")
    print(f"{soak.check_count - len(soak.failures)} passed, {len(soak.failures)} failed")
    sys.exit(1 if soak.failures else 0)


if __name__ == "__main__":
    main()
