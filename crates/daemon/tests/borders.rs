//! Limits on invalid, slow and too many callers, and that the HTTP client never
//! resends a request.

mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use support::{Site, TEAM, complete, get, prompt, read_some, send};

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

/// A server that answers the first request of a connection and closes the
/// connection once it has read the second.
fn closing_server(seen: &Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::clone(seen);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let mut bytes = [0; 4_096];
                for request in 0..2 {
                    if stream.read(&mut bytes).unwrap_or(0) == 0 {
                        return;
                    }
                    seen.fetch_add(1, Ordering::SeqCst);
                    if request == 0 {
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                        stream.write_all(answer).expect("the client reads the answer");
                    }
                }
            });
        }
    });
    address
}

/// A client that resends a request after a closed connection would break the
/// guarantee that a request is dispatched at most once.
fn client_does_not_resend(method: &str) {
    let seen = Arc::default();
    let address = closing_server(&seen);
    let agent: ureq::Agent = ureq::Agent::config_builder().proxy(None).build().into();
    let call = || {
        let request =
            ureq::http::Request::builder().method(method).uri(format!("http://{address}/"));
        let request = request.body(String::new()).expect("a valid request");
        agent.run(request)?.body_mut().read_to_string()
    };
    assert_eq!(call().expect("the first request is answered"), "ok");
    assert!(call().is_err(), "the second request must fail");
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

fn refuses_requests_above_the_limit() {
    let mut site = Site::start(&[]);
    let index = site.add_with("small", "accra-a", r#", "max_requests": 2"#);
    site.set_delay(5_000);
    let to = site.daemons[index].http;
    let slow = |key: &'static str| thread::spawn(move || support::order_at(to, key));
    let held = [slow("one"), slow("two")];
    site.wait_until("both requests run", |site| site.runs("one") + site.runs("two") == 2);
    let plain = complete(to, TEAM, &prompt("In memory", 4, true)).expect("an answer");
    assert_eq!((plain.status, plain.outcome().as_str()), (503, "not-run"));
    let keyed = support::order_at(to, "one").expect("an answer");
    assert_eq!((keyed.status, keyed.outcome().as_str()), (503, "unknown"));
    for order in held {
        assert_eq!(
            order.join().expect("the caller does not panic").expect("an answer").status,
            200
        );
    }
}

fn closes_idle_connections() {
    let mut site = Site::start(&[]);
    let index = site.add_with("quick", "accra-a", r#", "idle": "400 ms""#);
    let to = site.daemons[index].http;
    let before = site.daemons[index].process.thread_count();
    let idle = (0..60).map(|_| TcpStream::connect(to).expect("a connection"));
    let half = (0..20).map(|_| {
        let mut stream = TcpStream::connect(to).expect("a connection");
        let head = format!(
            "POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM}\r\n\
                 Content-Length: 900\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes()).expect("the head is sent");
        stream
    });
    let connections: Vec<_> = idle.chain(half).collect();
    for mut stream in connections {
        stream.set_read_timeout(Some(support::TIMEOUT)).expect("a timeout");
        // Reading ends only when the daemon closes the connection.
        stream.read_to_end(&mut Vec::new()).expect("the daemon closes the connection");
    }
    // Idle threads of the HTTP library's pool end after a few seconds.
    let threads = |site: &Site| site.daemons[index].process.thread_count();
    site.wait_until("the connections' threads have ended", |site| threads(site) < before + 20);
    assert_eq!(get(to, "/healthz", None).expect("an answer").status, 200);
}

/// The idle timeout does not apply while an answer is being streamed.
fn keeps_connections_of_slow_streams() {
    let mut site = Site::start(&[]);
    let index = site.add_with("quick", "accra-a", r#", "idle": "400 ms""#);
    site.engine_behaviour(0, &serde_json::json!({ "token_ms": 150 }));
    let to = site.daemons[index].http;
    let answer = complete(to, TEAM, &prompt("In memory of Efua", 10, true)).expect("an answer");
    assert_eq!(answer.body.matches("data: {").count(), 10, "{}", answer.body);
}

fn refuses_overlong_requests() {
    let mut site = Site::start(&[]);
    let index = site.add_with("strict", "accra-a", r#", "max_body": "1 KiB""#);
    let to = site.daemons[index].http;
    let long = format!("/orders/{}", "x".repeat(9_000));
    assert_eq!(get(to, &long, Some(TEAM)).expect("an answer").status, 414);
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str())];
    let body = "x".repeat(2_000);
    let answer = send("POST", to, "/orders", &headers, &body).expect("an answer");
    assert_eq!((answer.status, answer.outcome().as_str()), (413, "not-run"));
}

/// Events of a stream are not buffered: the second arrives well before the engine
/// can have produced the last.
fn forwards_events_at_once() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &serde_json::json!({ "token_ms": 300 }));
    let body = prompt("In memory of Efua", 30, true);
    let text = read_some(site.daemons[0].http, &body, 2);
    assert!(text.matches("data: {").count() < 10, "{text}");
}

cases! {
    get_is_not_resent => client_does_not_resend("GET");
    post_is_not_resent => client_does_not_resend("POST");
    requests_above_the_limit_are_refused => refuses_requests_above_the_limit();
    idle_connections_are_closed => closes_idle_connections();
    slow_stream_is_not_closed_as_idle => keeps_connections_of_slow_streams();
    overlong_requests_are_refused => refuses_overlong_requests();
    events_are_forwarded_at_once => forwards_events_at_once();
}
