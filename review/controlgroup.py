"""A group of control hosts as real processes on loopback addresses, with stand-ins for the platform and its operator.

The settings come from deploy/control.ini and the command from deploy/system.toml. Each machine has an address of its own
(127.X.Y.N, with X and Y by the process id), and the ports are the same on all machines, as in a deployment.
"""
import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(REPOSITORY, "target/apps/banyanledged")
ZONES = {"zone-1": "south", "zone-2": "north", "zone-3": "middle", "zone-4": "south", "zone-5": "north"}
ACK_S, CATCH_UP_S, RECOVERY_S, GRACE_S = 4.0, 4.0, 15.0, 6.0  # bounds of the small deployment coffi-hub
CALL_TIMEOUT_S = 1.0  # the operator moves on to another host after this time
METRICS_PORT = 7741  # named in deploy/control.ini


class CannotRun(Exception):
    pass


def is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_ports(count, addresses):
    """Ports that are free on all addresses."""
    ports = []
    for port in range(21000, 32000):
        if all(is_free(address, port) for address in addresses):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def render(template, values):
    """Fills in a settings template: sections over lists and tables, then values."""
    def section(match):
        name, body = match.groups()
        entries = values[name]
        pairs = list(entries.items()) if isinstance(entries, dict) else list(enumerate(entries))
        return "".join(body.replace("{{@}}", str(key)).replace("{{.}}", str(value))
                       .replace("{{,}}", "," if position + 1 < len(pairs) else "")
                       for position, (key, value) in enumerate(pairs))

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values[match.group(1)]), text)


class Platform:
    """The platform's list with one backend server."""

    def __init__(self):
        entry = {"Service": "svc", "Address": "127.0.0.1:9", "Zone": "zone-1", "Version": "v1", "Slots": 4,
                 "State": "ready", "WarmupLeftMs": 0}
        body = json.dumps({"Instances": {"i-1": entry}, "NextToken": None}).encode()

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = "127.0.0.1:%d" % self.server.server_address[1]


class ControlGroup:
    def __init__(self, record_path):
        self.start_time = time.monotonic()
        network = "127.%d.%d" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)
        self.addresses = {number: "%s.%d" % (network, number) for number in range(1, 8)}
        if not all(is_free(address, METRICS_PORT) for address in self.addresses.values()):
            raise CannotRun("port %d is in use" % METRICS_PORT)
        self.rpc_port, self.control_port = free_ports(2, self.addresses.values())
        self.processes, self.seeds = {}, [1, 2, 3]
        self.acknowledged = 0  # newest version of the desired state that was acknowledged
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("build the system first: " + DAEMON + " is missing")
        self.record = open(record_path, "w")
        self.folder = tempfile.mkdtemp(prefix="banyanledge-review-")
        self.platform = Platform()
        self.write_record("calls of the operator and their answers; no client sends requests, so no server runs any")

    def log(self, text):
        print(self.write_record(text), flush=True)

    def write_record(self, text):
        line = "%7.2f s  %s" % (time.monotonic() - self.start_time, text)
        self.record.write(line + "\n")
        self.record.flush()
        return line

    def data_folder(self, number):
        return os.path.join(self.folder, "data-%d" % number)

    def write_settings(self, number, bootstrap):
        zone = list(ZONES)[(number - 1) % len(ZONES)]
        address = self.addresses[number]
        values = {"NodeName": "core-%d" % number, "Region": ZONES[zone], "Zone": zone, "Ip": address, "Zones": ZONES,
                  "InternalPortRange.0": self.rpc_port, "DataDir": self.data_folder(number),
                  "Seeds": ["%s:%d" % (self.addresses[seed], self.control_port) for seed in self.seeds],
                  "Bootstrap": str(bootstrap).lower(), "FaultTolerance.Machines": 2, "Bounds.QuotaOvershoot": 0.1,
                  "Bounds.QuotaSlack": 20, "Listen.Control": "%s:%d" % (address, self.control_port),
                  "Cloud.Address": self.platform.address}
        with open(os.path.join(REPOSITORY, "deploy/control.ini")) as file:
            text = render(file.read(), values)
        with open(os.path.join(self.folder, "core-%d.ini" % number), "w") as file:
            file.write(text)

    def start(self, number, bootstrap=False):
        self.write_settings(number, bootstrap)
        os.makedirs(self.data_folder(number), exist_ok=True)
        with open(os.path.join(self.folder, "core-%d.log" % number), "ab") as log:
            self.processes[number] = subprocess.Popen(
                [DAEMON, "--config", os.path.join(self.folder, "core-%d.ini" % number)], cwd=REPOSITORY, stdout=log,
                stderr=log)
        self.log("core-%d starts" % number)

    def kill(self, number):
        self.processes[number].send_signal(signal.SIGCONT)
        self.processes[number].kill()
        self.processes.pop(number).wait()
        self.log("core-%d is killed" % number)

    def stop(self, number):
        """Planned end: SIGTERM, after GraceS SIGKILL, and no return."""
        self.processes[number].send_signal(signal.SIGTERM)
        try:
            self.processes[number].wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.processes[number].kill()
        self.processes.pop(number).wait()
        self.log("core-%d has ended after SIGTERM" % number)

    def lose_disk(self, number):
        shutil.rmtree(self.data_folder(number))
        self.log("core-%d loses its disk" % number)

    def pause(self, number, resume=False):
        self.processes[number].send_signal(signal.SIGCONT if resume else signal.SIGSTOP)
        self.log("core-%d %s" % (number, "wakes up" if resume else "freezes"))

    def change_seeds(self, seeds):
        self.seeds = seeds
        for number in self.processes:
            self.write_settings(number, False)
            self.processes[number].send_signal(signal.SIGHUP)
        self.log("the seeds are now " + ", ".join("core-%d" % seed for seed in seeds))

    def call(self, number, method, path, body=None, port=None):
        """Returns (status, body); status 0 without a whole answer in time."""
        connection = http.client.HTTPConnection(self.addresses[number], port or self.control_port,
                                                timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def leader(self, timeout_s):
        """The host whose metrics say that it leads."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for number in sorted(self.processes):
                _, text = self.call(number, "GET", "/metrics", port=METRICS_PORT)
                if re.search(r"^banyanledge_control_leads(\{[^}]*\})? 1", text, re.M):
                    return number
            time.sleep(0.2)
        return None

    def declaration(self, version):
        route = {"Name": "r", "Host": "a.example", "PathPrefix": "/a/", "Type": "safe", "TimeoutMs": 1200,
                 "MaxAttempts": 2, "Service": "svc"}
        return json.dumps({"Version": "%08x" % version, "Routes": [route], "Services": [{"Name": "svc"}]})

    def put(self, version, timeout_s):
        """Sends a desired state to one host after the other until one acknowledges it; False if none does."""
        end, numbers, attempt = time.monotonic() + timeout_s, sorted(self.processes), 0
        while time.monotonic() < end:
            number = numbers[attempt % len(numbers)]
            status, _ = self.call(number, "POST", "/api/config/put", self.declaration(version))
            self.write_record("POST /api/config/put, version %d, to core-%d: %d" % (version, number, status))
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                self.log("version %d is acknowledged by core-%d" % (version, number))
                return True
            attempt += 1
            time.sleep(0.1)
        self.log("version %d is not acknowledged in %.0f s" % (version, timeout_s))
        return False

    def keeps_newest(self, timeout_s):
        """Reads the desired state back from one host after the other. False if it doesn't come in time, is older than the
        newest acknowledged version or isn't what was sent."""
        end, numbers, attempt, statuses = time.monotonic() + timeout_s, sorted(self.processes), 0, {}
        while time.monotonic() < end:
            number = numbers[attempt % len(numbers)]
            status, body = self.call(number, "GET", "/api/config/get")
            statuses[status] = statuses.get(status, 0) + 1
            self.write_record("GET /api/config/get to core-%d: %d" % (number, status))
            if status == 200:
                version = int(json.loads(body)["Version"], 16)
                self.log("version %d is read back from core-%d" % (version, number))
                return version >= self.acknowledged and body == self.declaration(version)
            attempt += 1
            time.sleep(0.1)
        self.log("no desired state is read back in %.0f s; answers by status (0: none): %s" % (timeout_s, statuses))
        return False

    def begin(self):
        """Starts five hosts with empty disks and waits until all are voters."""
        for number in range(1, 6):
            self.start(number, bootstrap=True)
        if not self.put(1, 20) or self.leader(5) is None:
            raise CannotRun("the group did not start")
        time.sleep(CATCH_UP_S + 2)

    def change(self, version):
        """Changes the desired state; what the case shows afterwards needs the ack."""
        if not self.put(version, ACK_S):
            raise CannotRun("version %d has no ack before the final fault" % version)

    def end(self):
        for number in list(self.processes):
            self.kill(number)
        self.platform.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(case, folder):
    """Runs `case(group, trouble)`, which returns whether the rule held, and returns the exit code. The record is written
    to the folder, or to the file that RECORD names."""
    group = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        group = ControlGroup(os.environ.get("RECORD", os.path.join(folder, "record.txt")))
        held = case(group, os.environ.get("TROUBLE", "1") != "0")
        group.log("the rule held" if held else "the rule is broken")
        return 0 if held else 1
    except CannotRun as error:
        print("cannot run:", error)
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if group:
            group.end()
