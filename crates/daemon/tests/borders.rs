//! What the borders do with bad, slow and too many callers, and what the HTTP
//! client does behind our backs (nothing).

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
/// connection when it has read the second.
fn fickle_server(seen: &Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::clone(seen);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let mut bytes = [0; 4_096];
                for turn in 0..2 {
                    if stream.read(&mut bytes).unwrap_or(0) == 0 {
                        return;
                    }
                    seen.fetch_add(1, Ordering::SeqCst);
                    if turn == 0 {
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                        stream.write_all(answer).expect("the client reads");
                    }
                }
            });
        }
    });
    address
}

/// "Dispatched at most once" rests on this.
fn client_does_not_send_again(method: &str) {
    let seen = Arc::default();
    let address = fickle_server(&seen);
    let agent: ureq::Agent = ureq::Agent::config_builder().proxy(None).build().into();
    let call = || {
        let request =
            ureq::http::Request::builder().method(method).uri(format!("http://{address}/"));
        let request = request.body(String::new()).expect("a valid request");
        agent.run(request)?.body_mut().read_to_string()
    };
    assert_eq!(call().expect("the first is answered"), "ok");
    assert!(call().is_err(), "the second must fail");
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

fn too_many_requests() {
    let mut site = Site::start(&[]);
    let place = site.add_with("small", "accra-a", r#", "max_requests": 2"#);
    site.set_delay(5_000);
    let to = site.daemons[place].http;
    let slow = |key: &'static str| thread::spawn(move || support::order_at(to, key));
    let held = [slow("one"), slow("two")];
    site.wait_until("both run", |site| site.runs("one") + site.runs("two") == 2);
    let plain = complete(to, TEAM, &prompt("In memory", 4, true)).expect("an answer");
    assert_eq!((plain.status, plain.outcome().as_str()), (503, "not-run"));
    let keyed = support::order_at(to, "one").expect("an answer");
    assert_eq!((keyed.status, keyed.outcome().as_str()), (503, "unknown"));
    for order in held {
        assert_eq!(order.join().expect("no panic").expect("an answer").status, 200);
    }
}

fn silent_callers() {
    let mut site = Site::start(&[]);
    let place = site.add_with("quick", "accra-a", r#", "idle": "400 ms""#);
    let to = site.daemons[place].http;
    let before = site.daemons[place].process.thread_count();
    let idle = (0..60).map(|_| TcpStream::connect(to).expect("a connection"));
    let half = (0..20).map(|_| {
        let mut stream = TcpStream::connect(to).expect("a connection");
        let head = format!(
            "POST /orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM}\r\n\
                 Content-Length: 900\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes()).expect("the head is taken");
        stream
    });
    let silent: Vec<_> = idle.chain(half).collect();
    for mut stream in silent {
        stream.set_read_timeout(Some(support::PATIENCE)).expect("a timeout");
        // Reading comes to the end only where the daemon ends the connection.
        stream.read_to_end(&mut Vec::new()).expect("the connection is ended");
    }
    // The HTTP library's pool ends idle threads after a few seconds.
    let threads = |site: &Site| site.daemons[place].process.thread_count();
    site.wait_until("their threads are ended", |site| threads(site) < before + 20);
    assert_eq!(get(to, "/healthz", None).expect("an answer").status, 200);
}

/// A stream in which the caller says nothing for long is no silent caller.
fn slow_stream_is_not_ended() {
    let mut site = Site::start(&[]);
    let place = site.add_with("quick", "accra-a", r#", "idle": "400 ms""#);
    site.engine_behaviour(0, &serde_json::json!({ "token_ms": 150 }));
    let to = site.daemons[place].http;
    let answer = complete(to, TEAM, &prompt("In memory of Efua", 10, true)).expect("an answer");
    assert_eq!(answer.body.matches("data: {").count(), 10, "{}", answer.body);
}

fn long_requests() {
    let mut site = Site::start(&[]);
    let place = site.add_with("strict", "accra-a", r#", "max_body": "1 KiB""#);
    let to = site.daemons[place].http;
    let long = format!("/orders/{}", "x".repeat(9_000));
    assert_eq!(get(to, &long, Some(TEAM)).expect("an answer").status, 414);
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str())];
    let body = "x".repeat(2_000);
    let answer = send("POST", to, "/orders", &headers, &body).expect("an answer");
    assert_eq!((answer.status, answer.outcome().as_str()), (413, "not-run"));
}

/// The pieces of a stream are not held back: the second comes well before the
/// last one can have been made.
fn pieces_come_at_once() {
    let site = Site::start(&["accra-a"]);
    site.engine_behaviour(0, &serde_json::json!({ "token_ms": 300 }));
    let body = prompt("In memory of Efua", 30, true);
    let text = read_some(site.daemons[0].http, &body, 2);
    assert!(text.matches("data: {").count() < 10, "{text}");
}

cases! {
    get_is_not_sent_again => client_does_not_send_again("GET");
    post_is_not_sent_again => client_does_not_send_again("POST");
    request_cap => too_many_requests();
    silent_connections => silent_callers();
    quiet_caller_of_a_stream => slow_stream_is_not_ended();
    length_limits => long_requests();
    streamed_pieces => pieces_come_at_once();
}
