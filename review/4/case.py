"""The store comes back from an older copy while the machines are stopped and started in
turn. A process that starts before the operator has written the newest configuration again
takes the older one, with a key that was taken away, for proved."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness"))
from harness import *  # noqa: E402

REVOKE_S = 5.0
COPY_AGE_S = 6.0
AWAY_S = 0.5
REWRITE_S = 1.0
KEY, OTHER = "key-that-is-revoked", "key-that-stays"


def run(engine, connection, request):
    engine.begin(request)
    time.sleep(0.03)
    connection.write(answer("200 OK", engine.headers(request), b"placed"))
    return True


def case(record, scratch, daemons):
    store = Store()
    engine = Engine("i-orders-1", "app", record, run)
    store.put("servers", engine.name, engine.entry())
    routes = [route("/order/", "unsafe")]
    store.put("op", "config", config(1, routes, [tenant("council", [KEY, OTHER])]))
    ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
    port = free_internal_port(ips)
    for index, ip in enumerate(ips):
        daemons.append(Daemon(f"front-{index + 1}", ip, "z1", store, scratch, record, port,
                              seeds_bootstrap=False))
        daemons[-1].start()
    for daemon in daemons:
        daemon.wait_ready()
    time.sleep(4.0)
    copy = store.copy()
    copied = time.monotonic()
    time.sleep(0.5)
    store.put("op", "config", config(2, routes, [tenant("council", [OTHER])]))
    acked = time.monotonic()
    record("the store has acknowledged version 2, without the key")

    sent_late, ended = {}, threading.Event()
    rolled = daemons[0]

    def ask_with_the_key(daemon, name):
        number = 0
        while not ended.is_set():
            number += 1
            request = f"{name}-{number}"
            headers = [("Request-Id", request), ("Deadline-Ms", "1500"),
                       ("Authorization", f"Bearer {KEY}")]
            sent_late[request] = time.monotonic() - acked
            try:
                got = ask(daemon.ip, daemon.front, "POST", "/order/a", headers, b"0123456789")
                record(f"{request}, sent to {daemon.name} {sent_late[request]:.3f} s after the "
                       f"acknowledgement, got {got.start}")
            except (OSError, EOFError, ValueError):
                pass
            time.sleep(0.02)

    # The machine is stopped and started by the platform, as in a roll.
    time.sleep(max(0.0, copied + COPY_AGE_S - 2.6 - time.monotonic()))
    rolled.signal(signal.SIGTERM)
    rolled.process.wait()
    record(f"{rolled.name} has stopped")
    time.sleep(max(0.0, copied + COPY_AGE_S - time.monotonic()))
    if TROUBLE:
        for daemon in daemons:
            store.turn_away(daemon.name, True)
        record("the store is away")
        time.sleep(AWAY_S)
        store.restore(copy)
        for daemon in daemons:
            store.turn_away(daemon.name, False)
        record(f"the store is back, from a copy that is {time.monotonic() - copied:.3f} s old")
    back = time.monotonic()
    rolled.start()
    asking = [spawn(ask_with_the_key, rolled, "late"),
              spawn(ask_with_the_key, daemons[1], "other")]
    time.sleep(max(0.0, back + REWRITE_S - time.monotonic()))
    if TROUBLE:
        store.put("servers", engine.name, engine.entry())
        store.put("op", "config", config(2, routes, [tenant("council", [OTHER])]))
        record("the operator has written version 2 again")
    time.sleep(1.5)
    ended.set()
    for thread in asking:
        thread.join(5)
    ran = [request for request in engine.runs if sent_late.get(request, 0) > REVOKE_S]
    for request in ran:
        record(f"{request} was sent {sent_late[request]:.3f} s after the acknowledgement "
               f"that took its key away, and ran")
    return bool(ran)


main(FOLDER, case)
