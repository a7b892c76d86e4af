//! Upstreams that answer outside the protocol: callers get no part of it as an answer.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;
use support::{Site, TEAM, ZONES, send};

/// As small as the windows of a slow link, so that a long upload is still being written
/// when its answer comes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// The length of a long upload.
const UPLOAD_BYTES: usize = 3 << 20;

/// Starts an upstream that answers each request with these bytes when it has read some of
/// it, and resets the connection a little later.
fn resetting_upstream(bytes: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a valid size");
    let address = listener.local_addr().expect("it has an address");
    let answer = move |mut stream: TcpStream| {
        let mut start = [0; 1_024];
        let read = stream.read(&mut start);
        if read.is_ok_and(|length| length > 0) && stream.write_all(bytes.as_bytes()).is_ok() {
            thread::sleep(Duration::from_millis(20));
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a valid time");
        }
    };
    thread::spawn(move || listener.incoming().flatten().for_each(answer));
    address
}

fn check(bytes: &'static str, upload: usize) {
    let mut site = Site::start(&[]);
    let address = resetting_upstream(bytes);
    let upstreams = site.document["upstreams"].as_array_mut().expect("it is a list");
    upstreams.retain(|upstream| upstream["kind"] == "engine");
    upstreams.push(json!({"id": "faulty", "zone": ZONES[0], "address": address,
        "kind": "plain", "service": "orders-app", "slots": 4}));
    site.put_config(1);
    site.add_with("i0", ZONES[0], "");
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str())];
    let body = format!("{{\"text\":\"{}\"}}", "x".repeat(upload));
    for _ in 0..4 {
        let answer = send("POST", site.daemons[0].http, "/orders/new", &headers, &body);
        let answer = answer.expect("the caller gets an answer");
        assert!(answer.status >= 500, "{}: {}", answer.status, answer.body);
        assert!(!answer.body.contains("part"), "{}", answer.body);
    }
}

/// Guards against a part of an answer that is passed on as complete.
#[test]
fn part_of_an_answer_to_a_long_upload_is_not_complete() {
    check("HTTP/1.1 200 OK\r\n\r\na part of it", UPLOAD_BYTES);
}

/// Guards against an answer whose status is none.
#[test]
fn answer_with_status_000_is_not_passed_on() {
    check("HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\npart", 10);
}
