//! Killed, frozen and unreachable processes: what callers get and what runs.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::json;
use support::{Answer, OTHER_TEAM, Site, TEAM, complete, get, order_at, prompt, read_some, send};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// Starts an order in a thread of its own and waits until it runs.
fn start_running_order(
    site: &Site,
    index: usize,
    key: &'static str,
) -> thread::JoinHandle<Option<Answer>> {
    let to = site.daemons[index].http;
    let order = thread::spawn(move || order_at(to, key));
    site.wait_until("the order runs", |site| site.runs(key) == 1);
    order
}

fn has_unknown_outcome(answer: &Answer) -> bool {
    answer.status == 409 && answer.outcome() == "unknown" && answer.header("retry-after").is_some()
}

fn kill_during_dispatch() {
    let mut site = Site::start(&["accra-a", "accra-b"]);
    site.set_delay(5_000);
    let order = start_running_order(&site, 0, "killed");
    site.daemons.remove(0);
    let first = order.join().expect("the caller does not panic");
    assert!(first.is_none_or(|answer| answer.status != 200));
    let retry = site.order(0, "killed").expect("an answer");
    assert!(has_unknown_outcome(&retry), "{}", retry.body);
    assert_eq!(site.runs("killed"), 1);
    // An operator checked at the upstream that the order ran and resolves the key.
    let resolve = "resolve key osei killed ran";
    assert_eq!(site.operate(0, "/operator/command", resolve).status, 200);
    let retry = site.order(0, "killed").expect("an answer");
    assert_eq!((retry.status, retry.outcome().as_str()), (409, "ran"));
    assert_eq!(site.operate(0, "/operator/command", resolve).status, 409);
    assert_eq!(site.runs("killed"), 1);
}

fn kill_before_dispatch() {
    let mut site = Site::start(&["accra-a", "accra-b"]);
    // While the platform is frozen no record can be written.
    site.platform.signal("STOP");
    let to = site.daemons[0].http;
    let order = thread::spawn(move || order_at(to, "early"));
    site.wait_until("the order waits for its record", |site| {
        let held = site.operate(0, "/operator/query", "count requests over instance").json();
        held["count"] == 1 || order.is_finished()
    });
    site.daemons.remove(0);
    let _ = order.join();
    site.platform.signal("CONT");
    let retry = site.order(0, "early").expect("an answer");
    assert_eq!((retry.status, site.runs("early")), (200, 1), "{}", retry.body);
}

fn kill_after_answer() {
    let mut site = Site::start(&["accra-a", "accra-b"]);
    assert_eq!(site.order(0, "late").expect("an answer").status, 200);
    site.daemons.remove(0);
    let retry = site.order(0, "late").expect("an answer");
    assert!(retry.status == 200 || has_unknown_outcome(&retry), "{}", retry.body);
    assert_eq!(site.runs("late"), 1);
}

fn freeze_during_dispatch() {
    let site = Site::start(&["accra-a", "accra-b"]);
    site.set_delay(3_000);
    let order = start_running_order(&site, 0, "frozen");
    site.daemons[0].process.signal("STOP");
    // The upstream's answer comes while the instance is frozen.
    thread::sleep(Duration::from_millis(3_200));
    let retry = site.order(1, "frozen").expect("an answer");
    assert!(has_unknown_outcome(&retry), "{}", retry.body);
    site.daemons[0].process.signal("CONT");
    let first = order.join().expect("the caller does not panic").expect("an answer");
    assert_eq!(first.status, 200);
    site.wait_until("the retry gets the stored answer", |site| {
        site.order(1, "frozen").is_some_and(|a| a.status == 200 && a.body == first.body)
    });
    assert_eq!(site.runs("frozen"), 1);
}

fn drain_under_load() {
    let mut site = Site::start(&["accra-a", "accra-a"]);
    site.engine_behaviour(0, &json!({ "token_ms": 60 }));
    let to = site.daemons[0].http;
    let stream = thread::spawn(move || complete(to, TEAM, &prompt("In memory of Efua", 30, true)));
    site.wait_until("the stream runs", |site| {
        let running = site.operate(0, "/operator/query", "count running over instance").json();
        running["count"] == 1
    });
    site.daemons[0].process.signal("TERM");
    site.wait_until("the instance is not ready", |site| !site.daemons[0].is_ready());
    let refused = get(to, "/orders/1", Some(TEAM));
    if let Some(refused) = refused {
        assert_eq!((refused.status, refused.outcome().as_str()), (503, "not-run"));
    }
    let whole = stream.join().expect("the caller does not panic").expect("an answer");
    assert_eq!(whole.body.matches("data: {").count(), 30, "{}", whole.body);
    assert!(whole.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(site.daemons[0].process.wait(), 0);
    assert_eq!(site.order(1, "after").expect("an answer").status, 200);
}

fn platform_gone_and_back() {
    let site = Site::start(&["accra-a"]);
    site.platform_faults(&json!({ "down": true }));
    let refused = site.order(0, "outage").expect("an answer");
    assert_eq!((refused.status, refused.outcome().as_str()), (503, "unknown"));
    let draft = complete(site.daemons[0].http, TEAM, &prompt("In memory", 4, true));
    assert!(draft.expect("an answer").body.contains("[DONE]"));
    site.platform_faults(&json!({}));
    site.wait_until("orders run again", |site| {
        site.order(0, "outage").is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(site.runs("outage"), 1);
}

fn lost_answer_of_the_claim() {
    let site = Site::start(&["accra-a"]);
    site.platform_faults(&json!({ "lost_answers": 1 }));
    let answer = site.order(0, "lost").expect("an answer");
    assert_eq!((answer.status, site.runs("lost")), (200, 1), "{}", answer.body);
}

fn zone_cut() {
    let site = Site::start(&["accra-a", "accra-b"]);
    site.wait_until("both instances answer", |site| {
        site.operate(1, "/operator/query", "count config over all").json()["count"] == 2
    });
    // From accra-b only its own zone is reachable now.
    site.platform.signal("STOP");
    site.daemons[0].process.signal("STOP");
    let draft = complete(site.daemons[1].http, TEAM, &prompt("In memory", 4, true));
    assert!(draft.expect("an answer").body.contains("[DONE]"));
    let refused = site.order(1, "cut").expect("an answer");
    assert_eq!(refused.outcome(), "unknown");
    let silent = site.operate(1, "/operator/query", "count config over all").json();
    assert_eq!((&silent["count"], &silent["silent"]), (&json!(1), &json!(["i0"])));
    site.platform.signal("CONT");
    site.daemons[0].process.signal("CONT");
    site.wait_until("orders run again", |site| {
        site.order(1, "cut").is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(site.runs("cut"), 1);
}

fn broken_stream() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &json!({ "breaks": 1 }));
    let answer = complete(site.daemons[0].http, TEAM, &prompt("In memory of Efua", 8, true));
    let body = answer.expect("an answer").body;
    assert_eq!(body.matches("data: {").count(), 8, "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}

/// An event of another request is not forwarded; the stream is resumed.
fn foreign_event() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &json!({ "foreign": 1 }));
    let answer = complete(site.daemons[0].http, TEAM, &prompt("In memory of Efua", 8, true));
    let body = answer.expect("an answer").body;
    assert!(!body.contains("foreign"), "{body}");
    assert_eq!(body.matches("data: {").count(), 8, "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}

/// An instance without a configuration is alive but not ready, and refuses
/// requests.
fn new_instance_without_platform() {
    let mut site = Site::start(&[]);
    site.platform.signal("STOP");
    site.add("new", "accra-a");
    let to = site.daemons[0].http;
    assert_eq!(get(to, "/healthz", None).expect("an answer").status, 200);
    assert!(!site.daemons[0].is_ready());
    let refused = site.order(0, "early").expect("an answer");
    assert_eq!((refused.status, refused.outcome().as_str()), (503, "unknown"));
    let plain = complete(to, TEAM, &prompt("In memory", 4, true)).expect("an answer");
    assert_eq!((plain.status, plain.outcome().as_str()), (503, "not-run"));
    site.platform.signal("CONT");
    site.wait_until("the instance is ready", |site| site.daemons[0].is_ready());
}

fn silent_stream() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &json!({ "token_ms": 100 }));
    let to = site.daemons[0].http;
    let stream = thread::spawn(move || complete(to, TEAM, &prompt("In memory of Efua", 150, true)));
    site.wait_until("the stream runs", |site| {
        let running = site.operate(0, "/operator/query", "count running over instance").json();
        running["count"] == 1
    });
    thread::sleep(Duration::from_millis(500));
    site.engine_behaviour(0, &json!({ "token_ms": 100, "silent": true }));
    let body = stream.join().expect("the caller does not panic").expect("an answer").body;
    assert!(body.contains("event: error"), "{body}");
    assert!(body.contains("\"outcome\":\"ran-in-part\""), "{body}");
}

fn stream_through_another_instance() {
    let mut site = Site::start(&["accra-a", "accra-b"]);
    let to = site.daemons[0].http;
    let whole = complete(to, TEAM, &prompt("In memory of Efua", 8, true)).expect("an answer");
    let token = whole.header("rosemarypond-resume").expect("a resume token").to_owned();
    site.daemons.remove(0);
    let resume = |credential: &str, token: &str| {
        let bearer = format!("Bearer {credential}");
        let headers = [("Authorization", bearer.as_str()), ("Rosemarypond-Resume", token)];
        send("GET", site.daemons[0].http, "/v1/resume?from=5", &headers, "").expect("an answer")
    };
    let rest = resume(TEAM, &token);
    assert_eq!(rest.body.matches("data: {").count(), 3, "{}", rest.body);
    assert!(whole.body.ends_with(&rest.body));
    assert_eq!(resume(OTHER_TEAM, &token).status, 403);
    // A token with one changed character is refused.
    let middle = token.len() / 2;
    let other = if token.as_bytes()[middle] == b'A' { "B" } else { "A" };
    let forged = format!("{}{other}{}", &token[..middle], &token[middle + 1..]);
    assert_eq!(resume(TEAM, &forged).status, 403);
}

fn stream_of_a_killed_instance() {
    let mut site = Site::start(&["accra-a", "accra-b"]);
    site.engine_behaviour(0, &json!({ "token_ms": 100 }));
    let body = prompt("In memory of Efua", 60, true);
    let begin = read_some(site.daemons[0].http, &body, 3);
    site.daemons.remove(0);
    let events = begin.matches("data: {").count();
    let token = begin.lines().find_map(|line| line.strip_prefix("Rosemarypond-Resume: "));
    let token = token.expect("a resume token").trim();
    site.engine_behaviour(0, &json!({}));
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str()), ("Rosemarypond-Resume", token)];
    let path = format!("/v1/resume?from={events}");
    let rest = send("GET", site.daemons[0].http, &path, &headers, "").expect("an answer");
    assert_eq!(events + rest.body.matches("data: {").count(), 60, "{}", rest.body);
    assert!(rest.body.ends_with("data: [DONE]\n\n"), "{}", rest.body);
}

/// The platform still lists a dead instance, but its peers no longer count it.
fn dead_instance_still_listed() {
    let mut site = Site::start(&["accra-a", "accra-a"]);
    let members = |site: &Site| {
        let sentence = "count members over instance";
        site.operate(0, "/operator/query", sentence).json()["count"].clone()
    };
    site.wait_until("the instances receive each other's heartbeats", |site| members(site) == 1);
    site.daemons.remove(1);
    site.wait_until("the dead instance is not counted", |site| members(site) == 0);
    let all = site.operate(0, "/operator/query", "count config over all").json();
    assert_eq!((&all["count"], &all["silent"]), (&json!(1), &json!(["i1"])));
    assert_eq!(site.order(0, "alone").expect("an answer").status, 200);
}

fn two_operators() {
    let site = Site::start(&["accra-a", "accra-b"]);
    let set = |index, slots| {
        let sentence = format!("if version 1 set upstream orders-0 slots {slots}");
        site.operate(index, "/operator/command", &sentence)
    };
    assert_eq!(set(0, 2).status, 200);
    let late = set(1, 3);
    assert_eq!((late.status, &late.json()["version"]), (409, &json!(2)), "{}", late.body);
    site.wait_until("both follow version 2", |site| {
        let sentence = "count config where version = 2";
        site.operate(0, "/operator/query", sentence).json()["count"] == 2
    });
    let bad = site.operate(0, "/operator/command", "set upstream orders-0 slots 0");
    assert_eq!(bad.status, 400);
    assert!(bad.body.contains("1 or more slots"), "{}", bad.body);
    let dry = site.operate(0, "/operator/command", "dry run set upstream orders-0 slots 9");
    assert_eq!(dry.json()["difference"].as_array().map(Vec::len), Some(2));
}

fn upstream_leaves() {
    let site = Site::start(&["accra-a"]);
    let answer = site.operate(0, "/operator/command", "drain upstream orders-0");
    assert_eq!(answer.status, 200);
    site.wait_until("the upstream is leaving", |site| {
        let sentence = "count upstreams where upstream = orders-0 and state = leaving";
        site.operate(0, "/operator/query", sentence).json()["count"] == 1
    });
    // The order runs at the other zone's service.
    assert_eq!(site.order(0, "moved").expect("an answer").status, 200);
    let runs = get(site.plains[0].address(), "/runs", None).expect("an answer").json();
    assert_eq!(runs, json!({}));
}

/// One instance of the zone polls the engine's report and sends it to the other.
fn engine_reports_that_it_leaves() {
    let site = Site::start(&["accra-a", "accra-a"]);
    site.engine_behaviour(0, &json!({ "leaving": true }));
    let sentence = "count upstreams where upstream = engine-0 and state = leaving over all";
    let leaving =
        |site: &Site| site.operate(0, "/operator/query", sentence).json()["count"].clone();
    site.wait_until("both instances show the engine as leaving", |site| leaving(site) == 2);
    site.engine_behaviour(0, &json!({}));
    site.wait_until("no instance shows the engine as leaving", |site| leaving(site) == 0);
}

/// The timeline of a configuration has an event of each instance, ordered by time, and by
/// instance where both put it in force in the same microsecond before they hear of each
/// other. Guards against an order that differs from query to query.
fn timeline_of_a_configuration() {
    let site = Site::start(&["accra-a", "accra-b"]);
    let sentence = r#"show timeline where subject = "config 1""#;
    let rows = |site: &Site| {
        let answer = site.operate(1, "/operator/query", sentence).json();
        answer["rows"].as_array().cloned().unwrap_or_default()
    };
    site.wait_until("the timeline has an event of each instance", |site| rows(site).len() == 2);
    let position = |row: &serde_json::Value| {
        let text = row["stamp"].as_str().expect("a stamp").to_owned();
        let stamp = text.parse::<rosemarypond_core::timeline::Stamp>().expect("a stamp");
        (stamp, row["instance"].as_str().expect("an instance").to_owned())
    };
    let rows = rows(&site);
    assert!(position(&rows[0]) < position(&rows[1]));
    assert_ne!(rows[0]["instance"], rows[1]["instance"]);
}

/// The second instance has a platform of its own, which stays at version 1. It can
/// get version 2 only from its peer.
fn configuration_from_a_peer() {
    let mut site = Site::start(&["accra-a"]);
    let stale_platform = support::Process::standin("platform");
    site.put_config_at(stale_platform.address(), 0);
    let isolated = support::Daemon::start("cut", "accra-b", stale_platform.address());
    site.daemons.push(isolated);
    site.wait_until("both instances are ready", |site| {
        site.daemons.iter().all(support::Daemon::is_ready)
    });
    site.list_at(stale_platform.address(), 0, "i0");
    site.list_at(site.platform.address(), 1, "cut");
    site.document["tiers"][1]["deadline_ms"] = json!(19_000);
    site.put_config(1);
    site.wait_until("the isolated instance has version 2", |site| {
        let sentence = "count config where version = 2 over instance";
        site.operate(1, "/operator/query", sentence).json()["count"] == 1
    });
}

fn caller_leaves() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &json!({ "token_ms": 50 }));
    let to = site.daemons[0].http;
    let body = prompt("In memory of Efua", 400, true);
    read_some(to, &body, 2);
    site.wait_until("the engine's work is stopped", |site| {
        let load = get(site.engines[0].address(), "/load", None).expect("an answer").json();
        let held = site.operate(0, "/operator/query", "count requests over instance").json();
        load["running"] == 0 && held["count"] == 0
    });
    let metrics = get(to, "/metrics", None).expect("an answer").body;
    let wasted =
        metrics.lines().find(|l| l.starts_with("rosemarypond_wasted_prefill_tokens_total"));
    assert!(wasted.is_some_and(|line| !line.ends_with(" 0")), "{wasted:?}");
}

/// The request of a caller that disconnects while it waits is cancelled and never
/// runs.
fn waiting_caller_leaves() {
    use std::io::Write;
    let site = Site::start(&["accra-a"]);
    // While the platform is frozen no record can be written.
    site.platform.signal("STOP");
    let mut caller = std::net::TcpStream::connect(site.daemons[0].http).expect("a connection");
    let head = format!(
        "POST /orders/new HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM}\r\n\
         Idempotency-Key: gone\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    caller.write_all(head.as_bytes()).expect("the request is sent");
    let held = |site: &Site| {
        let rows = site.operate(0, "/operator/query", "count requests over instance").json();
        rows["count"].clone()
    };
    site.wait_until("the order is held", |site| held(site) == 1);
    drop(caller);
    let left_at = std::time::Instant::now();
    site.wait_until("the order is no longer held", |site| held(site) == 0);
    assert!(left_at.elapsed() < Duration::from_millis(900), "{:?}", left_at.elapsed());
    site.platform.signal("CONT");
    assert_eq!(site.runs("gone"), 0);
}

cases! {
    payment_killed_before_dispatch => kill_before_dispatch();
    payment_killed_during_dispatch => kill_during_dispatch();
    payment_killed_after_answer => kill_after_answer();
    payment_frozen_during_dispatch => freeze_during_dispatch();
    instance_drained_under_load => drain_under_load();
    platform_down_and_up => platform_gone_and_back();
    lost_answer_of_a_claim => lost_answer_of_the_claim();
    zone_partitioned => zone_cut();
    broken_stream_is_resumed => broken_stream();
    event_of_another_request_is_dropped => foreign_event();
    instance_without_platform_refuses => new_instance_without_platform();
    silent_stream_ends_with_an_error => silent_stream();
    stream_is_resumed_at_another_instance => stream_through_another_instance();
    stream_of_a_killed_instance_is_resumed => stream_of_a_killed_instance();
    dead_instance_is_not_counted => dead_instance_still_listed();
    later_of_two_operators_gets_a_conflict => two_operators();
    leaving_upstream_gets_no_requests => upstream_leaves();
    leaving_engine_is_known_to_both_instances => engine_reports_that_it_leaves();
    configuration_timeline_covers_both_instances => timeline_of_a_configuration();
    configuration_spreads_between_peers => configuration_from_a_peer();
    engine_stops_when_its_caller_leaves => caller_leaves();
    waiting_request_ends_when_its_caller_leaves => waiting_caller_leaves();
}
