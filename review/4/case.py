"""Engines that are full reject long requests before they have read them, keep the
connections, and read on soon after. Short requests that the daemon puts on these
connections are never answered."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness"))
from harness import *  # noqa: E402

ENGINES = 5
EARLY_ENGINES = 3  # a share of 0.6
LONG_BYTES = 100_000
SHORT_BYTES = 600
REQUESTS = 4000
EACH_LONG = 20  # one request in so many is long
WORK_S = 0.2
AT_ONCE = 34
READ_ON_AFTER_S = 0.3
TIMEOUT_MS = 800
DEADLINE_MS = 1500
PATIENCE_S = 10.0
KEY = "key-of-council"


class Order(Engine):
    """Runs orders; if it is early, it rejects long ones as not run when it has read their
    heads, and reads on later."""

    is_early = False

    def _serve(self, sock):
        connection = Connection(sock)
        try:
            while True:
                request = connection.read_head()
                length = int(request.header("content-length") or 0)
                request_id = request.header("request-id")
                if TROUBLE and self.is_early and length == LONG_BYTES:
                    self.record(f"{self.name} rejects {request_id} before it is in")
                    connection.write(answer("503 Service Unavailable",
                                            [("Request-Id", request_id), ("Not-Executed", "1")]))
                    time.sleep(READ_ON_AFTER_S)
                    connection._exactly(length)
                    self.record(f"{self.name} has read the rest of {request_id}")
                    continue
                request.body = connection._exactly(length)
                if request.header("expect-instance") not in (None, self.name):
                    connection.write(answer("421 Misdirected Request",
                                            [("Request-Id", request_id)]))
                    continue
                self.begin(request)
                time.sleep(WORK_S)
                connection.write(answer("200 OK", self.headers(request), b"placed"))
        except EOFError:
            pass
        except (OSError, ValueError) as error:
            self.record(f"{self.name}: a connection ended: {error}")
        connection.close()


def case(record, scratch, daemons):
    store = Store()
    for number in range(ENGINES):
        engine = Order(f"i-orders-{number}", "app", record, None, slots=6, receive_buffer=4096,
                       segment=1460)
        engine.is_early = number < EARLY_ENGINES
        store.put("servers", engine.name, engine.entry())
    routes = [route("/order/", "unsafe", timeout_ms=TIMEOUT_MS, target_ms=150)]
    store.put("op", "config", config(1, routes, [tenant("council", [KEY])]))
    ip = "127.0.0.2"
    daemon = Daemon("front-1", ip, "z1", store, scratch, record, free_internal_port([ip]))
    daemons.append(daemon)
    daemon.start()
    daemon.wait_ready()
    time.sleep(4.0)  # in touch
    results, lock = {}, threading.Lock()

    def send(request, body):
        sent = time.monotonic()
        record(f"{request} is sent, {len(body)} bytes")
        headers = [("Request-Id", request), ("Deadline-Ms", str(DEADLINE_MS)),
                   ("Authorization", f"Bearer {KEY}")]
        try:
            connection = connect(ip, daemon.front, PATIENCE_S)
            connection.write(head("POST", "/order/a", "site.example", headers, len(body)) + body)
            got = connection.read().start
            connection.close()
        except (OSError, EOFError, ValueError) as error:
            got = f"no answer ({error})"
        took = time.monotonic() - sent
        record(f"{request}: {got}, {took:.3f} s after it was sent")
        with lock:
            results[request] = (got, took)

    # So many requests are under way at once, without those whose deadline has passed.
    places = threading.Semaphore(AT_ONCE)

    def send_in_place(request, body):
        left = threading.Timer(DEADLINE_MS / 1000, places.release)
        left.start()
        send(request, body)
        if results[request][1] < DEADLINE_MS / 1000:
            left.cancel()
            places.release()

    threads = []
    for number in range(REQUESTS):
        is_long = number % EACH_LONG == 0
        request = f"{'long' if is_long else 'short'}-{number}"
        body = b"x" * (LONG_BYTES if is_long else SHORT_BYTES)
        places.acquire()
        threads.append(spawn(send_in_place, request, body))
    for thread in threads:
        thread.join(PATIENCE_S + 5)
    late = [took for _, took in results.values() if took > TIMEOUT_MS / 1000]
    later = [took for took in late if took > TIMEOUT_MS / 1000 + 0.5]
    never = [got for got, _ in results.values() if got.startswith("no answer")]
    record(f"of {len(results)} requests, {len(late)} were unanswered at their route's TimeoutMs "
           f"({TIMEOUT_MS} ms), {len(later)} of them 0.5 s later, and {len(never)} when their "
           f"clients left after {PATIENCE_S} s")
    return len(later) >= 8 and len(later) > len(late) / 2


main(FOLDER, case)
