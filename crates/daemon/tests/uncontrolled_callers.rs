//! Callers that the operators do not control must not exhaust the memory or the
//! descriptors of a daemon, at any of its addresses.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rosemarypond_standin::crowd::{Crowd, Script, Usage, kind};
use support::{Site, TEAM, ZONES, send};

/// The daemon's setting `memory`, in MiB; its process must stay within it.
const MEMORY_MIB: usize = 48;
/// The daemon's setting `max_connections`.
const MAX_CONNECTIONS: usize = 200;
/// The most descriptors that a daemon may need beside its callers' connections.
const OTHER_DESCRIPTORS: usize = 500;
/// The longest accepted body, the default of `max_body`.
const BODY_BYTES: usize = 4 << 20;
/// The longest head that the daemon reads.
const HEAD_BYTES: usize = 64 << 10;
/// The longest frame of a peer.
const FRAME_BYTES: usize = 16 << 20;
/// How many connections send bodies.
const SENDERS: usize = 60;
/// How many connections send heads, or read responses.
const CALLERS: usize = 250;
/// How long the crowd loads the daemon.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// The time after which a test gives up, only so that it ends.
const GIVE_UP: Duration = Duration::from_secs(30);

/// One daemon at a time, so that each has the machine to itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Defines a test for each case, which runs alone.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $count:expr, $to:ident, $script:expr;)*) => {
        $(
            $(#[doc = $doc])*
            #[test]
            fn $name() {
                let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
                check($count, Address::$to, &$script);
            }
        )*
    };
}

/// Which address of the daemon the crowd connects to.
#[derive(Clone, Copy)]
enum Address {
    Http,
    Peers,
}

/// The usage of the daemon's process, which must not have ended.
fn usage(site: &mut Site) -> Usage {
    let process = &mut site.daemons[0].process;
    assert!(!process.has_ended(), "the process ended");
    Usage::of(process.id()).expect("the process is alive")
}

/// Waits until an ordinary request is answered with success.
fn wait_until_served(site: &Site) {
    let end = Instant::now() + GIVE_UP;
    let bearer = format!("Bearer {TEAM}");
    let headers = [("Authorization", bearer.as_str())];
    let order = || send("POST", site.daemons[0].http, "/orders/new", &headers, "{}");
    while order().is_none_or(|answer| answer.status != 200) {
        assert!(Instant::now() < end, "no ordinary request was answered");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Loads a daemon with a crowd and checks that it lives, within its memory and
/// descriptors, and answers an ordinary request while the crowd's connections are open.
fn check(count: usize, address: Address, script: &Script) {
    let mut site = Site::start(&[]);
    let more = format!(
        r#", "memory": "{MEMORY_MIB} MiB", "max_connections": {MAX_CONNECTIONS}, "idle": "2 s""#
    );
    site.add_with("i0", ZONES[0], &more);
    wait_until_served(&site);
    let to = match address {
        Address::Http => site.daemons[0].http,
        Address::Peers => site.daemons[0].peer,
    };
    let mut descriptors = 0;
    let crowd = thread::scope(|scope| {
        let crowd = scope.spawn(|| Crowd::drive(to, count, script, CROWD_TIME));
        while !crowd.is_finished() {
            descriptors = descriptors.max(usage(&mut site).descriptors);
            thread::sleep(Duration::from_millis(50));
        }
        crowd.join().expect("the crowd ends")
    });
    let peak = usage(&mut site).peak_bytes >> 10;
    println!(
        "peak {peak} KiB, {descriptors} descriptors, {} connections of the crowd open",
        crowd.open()
    );
    wait_until_served(&site);
    let peak = usage(&mut site).peak_bytes;
    assert!(peak <= MEMORY_MIB << 20, "the peak of memory is {} KiB", peak >> 10);
    assert!(
        descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS,
        "{descriptors} descriptors were open"
    );
}

/// The start of a head for a path.
fn start(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM}\r\n")
}

/// A frame of a peer that lacks its last bytes.
fn unfinished_frame() -> Script {
    let (head, rest) = ((FRAME_BYTES as u32).to_be_bytes().to_vec(), vec![b'x'; 4_096]);
    Script { head, rest, times: FRAME_BYTES / 4_096 - 1, ..Script::default() }
}

cases! {
    /// Bodies that stop just short of their end are held until a timeout.
    unfinished_bodies => SENDERS, Http, kind::unfinished_body(&start("/orders/new"), BODY_BYTES);
    /// The same, where each read delivers little.
    unfinished_bodies_in_pieces =>
        SENDERS, Http, kind::unfinished_body_in_pieces(&start("/orders/new"), BODY_BYTES);
    /// The same, where no length is announced.
    unfinished_chunks => SENDERS, Http, kind::unfinished_chunks(&start("/orders/new"), BODY_BYTES);
    /// Bodies are read before their rule is known.
    unfinished_bodies_without_rule =>
        SENDERS, Http, kind::unfinished_body(&start("/nowhere"), BODY_BYTES);
    unfinished_bodies_at_readiness =>
        SENDERS, Http, kind::unfinished_body(&start("/readyz"), BODY_BYTES);
    /// Frames at the peers' address that no peer sent.
    unfinished_frames => SENDERS, Peers, unfinished_frame();
    /// Bodies whose announced length is refused, and that are sent all the same.
    overlong_bodies => SENDERS, Http, kind::overlong_body(&start("/orders/new"));
    /// Chunks whose number is not announced.
    endless_chunks => SENDERS, Http, kind::endless_chunks(&start("/orders/new"));
    endless_chunks_at_readiness => SENDERS, Http, kind::endless_chunks(&start("/readyz"));
    /// Each short field takes much more memory parsed than sent.
    many_short_fields => CALLERS, Http, kind::many_fields(&start("/orders/new"), HEAD_BYTES);
    /// Responses that nobody reads fill the buffers of the connection.
    unread_pipelines => CALLERS, Http, kind::unread_pipeline(&start("/orders/new"));
    unread_pipelines_without_rule => CALLERS, Http, kind::unread_pipeline(&start("/nowhere"));
    unread_metrics => CALLERS, Http, kind::unread_pipeline("GET /metrics HTTP/1.1\r\nHost: x\r\n");
    /// A byte now and then, so that a connection is never silent.
    slow_senders => CALLERS, Http, kind::slow_sender(&start("/orders/new"), BODY_BYTES);
    /// Requests that stop in the middle of their heads.
    half_heads => CALLERS, Http, kind::half_head(&start("/orders/new"));
    half_heads_at_peers => CALLERS, Peers, kind::half_head(&start("/orders/new"));
    /// Responses that were received whole wait for readers of one byte at a time.
    slow_readers => CALLERS, Http, kind::slow_reader(&start("/orders/large/1048576"), b"{}");
}
