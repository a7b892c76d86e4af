//! The store comes back from an older copy while the daemons are restarted in turn; a key
//! that was revoked long before is used.

use std::time::{Duration, Instant};
use std::thread;

use super::{Folder, ask, configuration, millis, sleep_until};
use crate::Verdict;
use crate::daemon::Daemon;
use crate::engine::Engine;
use crate::record::Record;
use crate::store::Store;

const REVOKE: Duration = Duration::from_millis(5_000);
/// How old the copy is.
const COPY_AGE: Duration = Duration::from_millis(7_500);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// How long after the store's return the operator has written again what was lost.
const REWRITE: Duration = Duration::from_millis(1_500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let engine = Engine::start("i-one", "orders-app", millis(30), 0);
    let before = configuration(7, &[("council", &["key-kept", "key-revoked"])]);
    let after = configuration(9, &[("council", &["key-kept"])]);
    store.put("op", "config", &before);
    store.put("servers", &engine.id, &engine.entry("zone-a", 6, "ready", 1));
    let mut daemons: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|z| {
            let (name, zone) = (format!("front-{z}"), format!("zone-{z}"));
            Daemon::new(&folder.0, &name, &zone, store.address, 260)
        })
        .collect();
    daemons.iter_mut().for_each(Daemon::start);
    if !daemons.iter().all(|daemon| daemon.wait_until_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("a daemon is not ready".into());
    }
    let first = ask(daemons[0].front, "POST", "/order/new", "before-1", "key-revoked");
    record.line(&format!("before it is revoked the key gets {}", first.status));
    let copy = store.copy();
    let copied = Instant::now();
    thread::sleep(millis(1_000));
    store.put("op", "config", &after);
    let acknowledged = Instant::now();
    record.line("version 9, which takes key-revoked away, is acknowledged");
    thread::sleep(millis(2_500));
    let second = ask(daemons[0].front, "POST", "/order/new", "before-2", "key-revoked");
    record.line(&format!("2.5 s later the key gets {}", second.status));
    if (first.status, second.status) != (200, 401) {
        return Verdict::NotRun("the key is not served before and denied after".into());
    }
    let back = copied + COPY_AGE;
    // A planned restart of one machine of a roll; the daemon ends 2.3 s after the signal.
    sleep_until(back - millis(2_200));
    daemons[0].signal("TERM");
    record.line("front-a gets SIGTERM");
    sleep_until(back - AWAY);
    if trouble {
        store.leave();
        record.line("the store is away");
    }
    sleep_until(back);
    if trouble {
        store.come_back(Some(copy));
        record.line("the store is back from a copy that is 7.5 s old");
    }
    let end = Instant::now() + millis(4_000);
    while !daemons[0].has_ended() && Instant::now() < end {
        thread::sleep(millis(5));
    }
    daemons[0].start();
    record.line("front-a has ended and starts again");
    let mut ids = vec![];
    let mut number = 0;
    let mut is_rewritten = false;
    while Instant::now() < back + millis(6_000) {
        if trouble && !is_rewritten && Instant::now() >= back + REWRITE {
            store.put("op", "config", &after);
            record.line("the operator has written version 9 again");
            is_rewritten = true;
        }
        for daemon in &daemons {
            number += 1;
            let id = format!("late-{number}");
            let answer = ask(daemon.front, "POST", "/order/new", &id, "key-revoked");
            let text = format!("{id} sent to {} with key-revoked: {}", daemon.name, answer.status);
            record.line_at(answer.sent, &text);
            ids.push((id, answer.sent));
        }
        thread::sleep(millis(50));
    }
    let last = ask(daemons[0].front, "POST", "/order/new", "after-1", "key-kept");
    record.line(&format!("at the end the kept key gets {}", last.status));
    let runs = engine.runs();
    let late = |id: &str, sent: Instant| {
        sent > acknowledged + REVOKE && runs.iter().any(|run| run.request == id)
    };
    let ran = ids.iter().filter(|(id, sent)| late(id, *sent)).count();
    let text = format!(
        "{ran} requests ran that were sent with the revoked key later than RevokeMs after the \
         acknowledgement"
    );
    record.line(&text);
    println!("{text}");
    match ran {
        _ if last.status != 200 => Verdict::NotRun("the kept key is not served at the end".into()),
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
