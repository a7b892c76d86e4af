"""A service's engines get another software version, and a minute later go back to the one
before. A process that was restarted in between begins streams without a record. All processes
are killed; callers take their streams up, and they go on at the other version."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness"))
from harness import *  # noqa: E402

CLIENTS = 16
EVENTS = 60
EVENT_PAUSE_S = 0.08
# After its engines have gone, a version counts as serving for a minute.
MINUTE_S = 60.0
KEY = "key-of-council"


class Model(Engine):
    """Streams events that name the version of its software."""

    release = "v1"

    def entry(self, state="ready"):
        return dict(super().entry(state), Version=self.release)


def run(engine, connection, request):
    engine.begin(request)
    text = "HTTP/1.1 200 OK\r\n"
    for name, value in engine.headers(request):
        text += f"{name}: {value}\r\n"
    text += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.write(text.encode())
    for number in range(int(request.header("last-event-id") or 0) + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {engine.release}\n\n".encode()
        connection.write(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(EVENT_PAUSE_S)
    connection.write(b"0\r\n\r\n")
    return True


def case(record, scratch, daemons):
    store = Store()

    def start(release, number):
        engine = Model(f"i-{release}-{number}", "llm", record, run)
        engine.release = release
        store.put("servers", engine.name, engine.entry())
        record(f"{engine.name} serves version {release}")
        return engine

    def leave(engine):
        store.put("servers", engine.name, engine.entry("draining"))
        time.sleep(2.5)
        store.delete("servers", engine.name)
        engine.listener.close()
        record(f"{engine.name} has left")

    first = [start("v1", 1), start("v1", 2)]
    routes = [route("/proof/", "streaming", "llm", attempts=1, resumable=True)]
    store.put("op", "config", config(1, routes, [tenant("council", [KEY])], ("llm",)))
    ips = ["127.0.0.2", "127.0.0.3"]
    port = free_internal_port(ips)
    for index, ip in enumerate(ips):
        daemons.append(Daemon(f"front-{index + 1}", ip, "z1", store, scratch, record, port,
                              seeds_bootstrap=False))
        daemons[-1].start()
    for daemon in daemons:
        daemon.wait_ready()
    restarted = daemons[1]
    time.sleep(3.0)

    # A release: engines of v2 come, those of v1 leave.
    start("v2", 1)
    start("v2", 2)
    time.sleep(1.0)
    for thread in [spawn(leave, engine) for engine in first]:
        thread.join()
    left_at = time.monotonic()
    time.sleep(15.0)

    # A roll: one process is stopped and started.
    restarted.signal(signal.SIGTERM)
    restarted.process.wait()
    restarted.start()
    restarted.wait_ready()
    time.sleep(max(0.0, left_at + MINUTE_S + 4.0 - time.monotonic()))

    # The release is taken back, at first beside v2.
    back = [start("v1", number) for number in range(3, 9)]
    time.sleep(2.0)

    parts, lock = {}, threading.Lock()

    def read(client, request, began, last, daemon, until):
        """Reads a stream, or the rest of it; returns the id of its last event."""
        headers = [("Request-Id", request), ("Deadline-Ms", "12000"), ("Token-Count", "100,60"),
                   ("Authorization", f"Bearer {KEY}")]
        if last:
            headers += [("Last-Event-Id", str(last)), ("Resumes", began)]
        record(f"{request} is sent to {daemon.name}, to go on after event {last}")
        try:
            connection = connect(daemon.ip, daemon.front, 14)
            connection.write(head("POST", "/proof/a", "site.example", headers, 2) + b"ab")
            message = connection.read_head()
            if message.start.split()[1] != "200":
                record(f"{request}: {message.start}")
                return last
            for chunk in connection.read_chunks():
                number = int(chunk.split(b"\n")[0][4:])
                with lock:
                    parts.setdefault(client, []).append(chunk.split(b"data: ")[1].strip().decode())
                last = number
                if until and number >= until:
                    break
            connection.close()
            record(f"{request} got {message.start}, up to event {last}")
        except (OSError, EOFError, ValueError) as error:
            record(f"{request} broke off after event {last}: {type(error).__name__}")
        return last

    def client(number):
        began = f"begin-{number}"
        # Without the kill, clients lose their connections by themselves.
        last = read(number, began, began, 0, restarted, 0 if TROUBLE else 15 + number)
        if not last or last == EVENTS:
            return
        killed.wait(20)
        for attempt in range(3):
            time.sleep(0.5)
            request = f"go-on-{number}-{attempt}"
            last = read(number, request, began, last, daemons[number % 2], 0)
            if last == EVENTS:
                return

    killed = threading.Event()
    threads = [spawn(client, number) for number in range(CLIENTS)]
    time.sleep(2.0)
    if TROUBLE:
        for daemon in daemons:
            daemon.signal(signal.SIGKILL)
        for daemon in daemons:
            daemon.process.wait()
        time.sleep(0.7)
        for daemon in daemons:
            daemon.start()
        for daemon in daemons:
            daemon.wait_ready()
    killed.set()
    for thread in threads:
        thread.join(30)
    joined = {c: p for c, p in parts.items() if len(set(p)) > 1}
    for number, releases in sorted(parts.items()):
        runs = [r for i, r in enumerate(releases) if i == 0 or releases[i - 1] != r]
        record(f"stream {number}: {len(releases)} events, of {' then '.join(runs)}")
    record(f"{len(joined)} streams hold events of two versions")
    return len(joined) > 2


main(FOLDER, case)
