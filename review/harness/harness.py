"""Stand-ins for the platform's store, engines and clients, and the processes under test.

Standard library only. Everything listens on loopback addresses and on ports that the
system picks. The stand-ins follow PROTOCOL.md and DEPLOY.md.
"""

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "rosemarypond")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, UNUSABLE = 1, 0, 2


class Unusable(Exception):
    """The case could not run."""


class Record:
    """Writes what happens to `record.txt`, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Message:
    """A request or an answer: its first line, headers in lower case, and its body."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name):
        return self.headers.get(name.lower())


class Connection:
    """One side of an HTTP/1.1 connection."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the connection ended")
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def _exactly(self, count):
        while len(self.buffer) < count:
            self._fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_head(self):
        start = self._line().decode("latin-1")
        headers = {}
        while True:
            line = self._line().decode("latin-1")
            if not line:
                return Message(start, headers, b"")
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def read_chunks(self):
        """Yields the chunks of a chunked body."""
        while True:
            size = int(self._line().split(b";")[0], 16)
            data = self._exactly(size)
            self._line()
            if size == 0:
                return
            yield data

    def read(self):
        """Reads a whole message."""
        message = self.read_head()
        if message.header("transfer-encoding") == "chunked":
            message.body = b"".join(self.read_chunks())
        else:
            message.body = self._exactly(int(message.header("content-length") or 0))
        return message

    def write(self, data):
        self.sock.sendall(data)

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


def answer(status, headers, body=b""):
    head = f"HTTP/1.1 {status}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def listen(ip="127.0.0.1", port=0, receive_buffer=None, segment=None):
    """Listens; `segment` is the largest segment that the other end may send, such as
    1,460 bytes on Ethernet (loopback has 65,483)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind((ip, port))
    sock.listen(512)
    return sock


def spawn(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


def accept_all(listener, serve):
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        spawn(serve, sock)


class Store:
    """The platform's metadata store. Each process has its own door to it, so that the
    store can turn that process away and serve the others."""

    def __init__(self):
        self.lock = threading.Condition()
        self.version = 0
        self.rows = {}
        self.away = set()
        self.era = 1
        self.started = time.monotonic()

    def door(self, name):
        """Opens an address for a process."""
        listener = listen()
        spawn(accept_all, listener, lambda sock: self._serve(sock, name))
        return listener.getsockname()

    def turn_away(self, name, is_away):
        with self.lock:
            (self.away.add if is_away else self.away.discard)(name)
            self.lock.notify_all()

    def copy(self):
        """What the store holds now."""
        with self.lock:
            return self.version, dict(self.rows)

    def restore(self, copy):
        """Comes back from an older copy: versions go back, and the era rises by one."""
        with self.lock:
            self.version, rows = copy
            self.rows = dict(rows)
            self.era += 1
            self.lock.notify_all()

    def put(self, table, key, value, part=""):
        """Writes a row; its return is the acknowledgement."""
        with self.lock:
            self._put(table, part, key, json.dumps(value).encode())

    def delete(self, table, key, part=""):
        """Removes a row."""
        with self.lock:
            self._put(table, part, key, None)

    def _put(self, table, part, key, value):
        self.version += 1
        self.rows[(table, part, key)] = (self.version, value)
        self.lock.notify_all()

    def _answer(self, status, body):
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        return answer(status, headers, json.dumps(body).encode() if body is not None else b"")

    def _serve(self, sock, name):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read()
                with self.lock:
                    connection.write(self._respond(request, name))
        except (EOFError, OSError, ValueError):
            connection.close()

    def _found(self, rows):
        body = {"Rows": rows, "HasMore": False, "Ver": self.version}
        body["NowMs"] = int((time.monotonic() - self.started) * 1000)
        return self._answer("200 OK", body)

    def _row(self, key, with_value=True):
        version, value = self.rows[key]
        table, part, name = key
        return {"Table": table, "part": part, "Key": name, "Ver": version,
                "Value": base64.b64encode(value or b"").decode(), "Deleted": value is None}

    def _respond(self, request, name):
        if name in self.away:
            return self._answer("503 Unavailable", None)
        path, _, query = request.start.split(" ")[1].partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        table = args.get("Table", "")
        if path == "/v1/rows-get":
            part = args.get("part", "")
            keys = sorted(k for k, (_, v) in self.rows.items()
                          if k[0] == table and k[1] == part and v is not None)
            return self._found([self._row(k) for k in keys])
        if path == "/v1/rows-parts":
            parts = sorted({k[1] for k, (_, v) in self.rows.items()
                            if k[0] == table and v is not None})
            return self._answer("200 OK", {"parts": parts, "HasMore": False})
        if path == "/v1/rows-feed":
            after = int(args.get("After", 0))
            if after > self.version:
                return self._answer("410 Gone", None)
            until = time.monotonic() + int(args.get("WaitMs", 0)) / 1000
            era = self.era
            while True:
                if name in self.away:
                    return self._answer("503 Unavailable", None)
                if self.era != era:
                    return self._answer("410 Gone", None)
                keys = [k for k, (v, _) in self.rows.items() if k[0] == table and v > after]
                left = until - time.monotonic()
                if keys or left <= 0:
                    keys.sort(key=lambda k: self.rows[k][0])
                    return self._found([self._row(k) for k in keys])
                self.lock.wait(left)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        return self._answer("404 Not Found", None)

    def _transact(self, call):
        def key(entry):
            return (entry["Table"], entry.get("part", ""), entry["Key"])

        changed = []
        for entry in call.get("Precondition", []):
            version, value = self.rows.get(key(entry), (0, None))
            if entry["Ver"] != (version if value is not None else 0):
                changed.append(entry)
        if changed:
            return self._answer("412 Precondition Failed", {"Rows": changed})
        self.version += 1
        for entry in call.get("SetKeys", []):
            self.rows[key(entry)] = (self.version, base64.b64decode(entry["Value"]))
        for entry in call.get("Delete", []):
            self.rows[key(entry)] = (self.version, None)
        self.lock.notify_all()
        return self._found([])


class Engine:
    """An engine or application that runs each request with `run(engine, connection,
    request)`, which returns whether the connection stays open."""

    def __init__(self, name, service, record, run, slots=8, receive_buffer=None, zone="z1",
                 segment=None):
        self.name, self.service, self.record, self.run = name, service, record, run
        self.slots, self.zone = slots, zone
        self.listener = listen(receive_buffer=receive_buffer, segment=segment)
        self.address = "%s:%d" % self.listener.getsockname()
        self.runs = []
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        spawn(accept_all, self.listener, self._serve)

    def entry(self, state="ready"):
        return {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": state, "ColdRemainingMs": 0,
                "Sequence": 1, "born": self.born}

    def begin(self, request):
        """Records that a request runs."""
        request_id = request.header("request-id")
        with self.lock:
            self.runs.append(request_id)
        self.record(f"{self.name} runs {request_id} {request.start} tenant="
                    f"{request.header('tenant')} body={len(request.body)} "
                    f"deadline={request.header('deadline-ms')}")

    def headers(self, request):
        request_id = request.header("request-id")
        return [("Request-Id", request_id), ("Response-Signature", f"sig.{request_id}")]

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read()
                if request.header("expect-instance") not in (None, self.name):
                    connection.write(answer("421 Misdirected Request",
                                            [("Request-Id", request.header("request-id"))]))
                    continue
                if not self.run(self, connection, request):
                    break
        except (EOFError, OSError, ValueError):
            pass
        connection.close()


class Daemon:
    """A process of the deploy file, with a settings file as DEPLOY.md shows it."""

    def __init__(self, name, ip, zone, store, folder, record, internal_port, bounds=None,
                 seeds_bootstrap=True, settings=None):
        self.name, self.ip, self.record, self.folder = name, ip, record, folder
        self.front, self.ready = free_port(ip), free_port(ip)
        self.path = os.path.join(folder, f"{name}.toml")
        address = store.door(name)
        values = dict(BOUNDS)
        values.update(bounds or {})
        lines = "\n".join(f"{k} = {json.dumps(v)}" for k, v in values.items())
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""NodeName = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
InternalPorts = [{internal_port},{internal_port + 15}]
Seeds = []
Bootstrap = {json.dumps(seeds_bootstrap)}
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
{zone} = "r"
[Listen]
Front = "{ip}:{self.front}"
Ready = "{ip}:{self.ready}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
{lines}
[Provider]
Address = "{address[0]}:{address[1]}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 8.0
PartWritesS = 150
RowBytes = 65536
HistoryS = 20
""")
        self.process = None

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ROSEMARYPOND_CONFIG"] = self.path
        if not os.path.exists(DAEMON):
            raise Unusable("the deploy file's build is missing: " + DAEMON)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = subprocess.Popen([DAEMON], cwd=ROOT, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"{self.name} started, process {self.process.pid}")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            return ask(self.ip, self.ready, "GET", "/v1/readyz", timeout=1.0).start.split()[1] == "200"
        except (OSError, EOFError, ValueError):
            return False

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise Unusable(f"{self.name} ended with {self.process.returncode}")
            if self.is_ready():
                self.record(f"{self.name} is ready")
                return
            time.sleep(0.05)
        raise Unusable(f"{self.name} is not ready")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000,
          "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevoke": True, "RevokeMs": 5000,
          "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 52, "QuotaWindowS": 8,
          "QuotaOver": 0.1, "QuotaSlack": 190000, "RecoverS": 12, "PassMs": 120, "AgainS": 10}


def free_port(ip="127.0.0.1"):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_internal_port(ips):
    """A port that is free for datagrams and connections on all addresses."""
    for _ in range(50):
        port = free_port(ips[0])
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
            if port < 65000:
                return port
        except OSError:
            pass
    raise Unusable("no internal port is free")


def connect(ip, port, timeout=None, receive_buffer=None, segment=None):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.settimeout(timeout or 5.0)
    sock.connect((ip, port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)


def head(method, path, host, headers, length=0):
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if length or method == "POST":
        text += f"Content-Length: {length}\r\n"
    return (text + "\r\n").encode()


def ask(ip, port, method, path, headers=(), body=b"", host="site.example", timeout=5.0):
    connection = connect(ip, port, timeout)
    try:
        connection.write(head(method, path, host, headers, len(body)) + body)
        return connection.read()
    finally:
        connection.close()


def route(prefix, kind, service="app", attempts=1, timeout_ms=12000, target_ms=1000,
          resumable=False):
    return {"Name": prefix.strip("/"), "Host": "site.example", "Prefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1,
            "Service": service, "MaxAttempts": attempts, "Public": False,
            "Resumable": resumable, "GapAimMs": 500}


def tenant(name, keys):
    return {"Name": name, "ApiKeys": keys, "Priority": 1, "Unit": "token_usage",
            "PlainTokens": 10, "RatePerS": 0, "Burst": 0}


def config(version, routes, tenants, services=("app",)):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": s, "HealthPath": "/healthz", "MaxConnections": 360}
                         for s in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": tenants}


def main(folder, case):
    """Runs a case; its exit status is 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run."""
    record = Record(folder)
    record(f"disruption: {'yes' if TROUBLE else 'no'}")
    daemons = []
    status = UNUSABLE

    def end(*_):
        raise Unusable("it took too long")

    signal.signal(signal.SIGTERM, end)
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        try:
            status = BROKEN if case(record, scratch, daemons) else HELD
        except Unusable as error:
            record(f"the case could not run: {error}")
        except Exception as error:  # the stand-ins failed, not the system
            record(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            for daemon in daemons:
                daemon.stop()
            kept = os.environ.get("KEEP_LOGS")
            for daemon in daemons if kept else []:
                shutil.copy(os.path.join(scratch, f"{daemon.name}.log"), kept)
    record({BROKEN: "the rule was broken", HELD: "the rule held",
            UNUSABLE: "the case could not run"}[status])
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read()[-400:])
    sys.stdout.flush()
    os._exit(status)
