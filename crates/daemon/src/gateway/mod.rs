//! The callers' interface: HTTP in, one answer out.

mod call;
mod intake;
mod problem;
mod reaper;
mod stream;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use eyre::{Context as _, eyre};
use rosemarypond_core::claim::Verdict;
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use socket2::{SockRef, TcpKeepalive};
use tiny_http::{Header, Request, Response, Server};

use crate::operate::Operate;
use crate::runtime::Handle;
use crate::settings::Settings;
use crate::upstream::{Agents, Answer, Piece, Target};

pub use problem::Problem;

/// A caller's connection on which nothing moves for this long is probed.
pub const KEEPALIVE: Duration = Duration::from_secs(10);
/// Data that a caller does not acknowledge for this long ends its connection.
pub const USER_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest path and query that are accepted, in bytes.
pub const MAX_URL_BYTES: usize = 8 * 1024;

/// When a caller may come back whose request was not read.
const UNREAD_RETRY_AFTER: Duration = Duration::from_secs(1);
const STACK_BYTES: usize = 256 * 1024;

/// What becomes of a request, told to the thread that holds its caller.
#[derive(Clone, Debug)]
pub enum Note {
    /// It goes to this upstream.
    Dispatch(Target),
    /// Its upstream sent something.
    Piece {
        /// The try that it is from.
        attempt: u32,
        /// What it is.
        piece: Piece,
    },
    /// Its upstream's work is to be stopped.
    Cancel,
    /// Its caller's final answer.
    Verdict {
        /// The answer.
        verdict: Verdict,
        /// When a refused caller may come back.
        retry_after: Duration,
        /// The answer that is kept under its key.
        replay: Option<Answer>,
    },
}

/// What the threads of the gateway share.
pub struct Gateway {
    /// Talks to the decisions.
    pub handle: Handle,
    /// Calls upstreams.
    pub agents: Agents,
    /// The settings.
    pub settings: Settings,
    /// Answers operators.
    pub operate: Operate,
    /// How many requests are held.
    pub active: AtomicUsize,
    served: reaper::Served,
    next_request: AtomicU64,
}

impl Gateway {
    /// A gateway whose requests are numbered from a random beginning.
    pub fn new(handle: Handle, settings: Settings, operate: Operate) -> Self {
        Self {
            handle,
            agents: Agents::default(),
            settings,
            operate,
            active: AtomicUsize::new(0),
            served: reaper::Served::default(),
            next_request: AtomicU64::new(rand::random()),
        }
    }

    /// A request id that no other instance is likely to give.
    fn next_id(&self) -> id::Request {
        id::Request(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Serves callers until the process ends.
    ///
    /// # Errors
    ///
    /// Where the socket does not take its options.
    pub fn serve(self: Arc<Self>, listener: TcpListener) -> eyre::Result<()> {
        set_options(&listener).wrap_err("The HTTP socket does not take its options")?;
        reaper::start(listener.local_addr()?, self.settings.idle.0, self.served.clone())?;
        let server = Server::from_listener(listener, None)
            .map_err(|e| eyre!("The HTTP server cannot start: {e}."))?;
        thread::Builder::new().name("http".into()).spawn(move || {
            for request in server.incoming_requests() {
                self.take(request);
            }
        })?;
        Ok(())
    }

    fn take(self: &Arc<Self>, request: Request) {
        let held = self.active.fetch_add(1, Ordering::Relaxed);
        if held >= self.settings.max_requests as usize {
            self.active.fetch_sub(1, Ordering::Relaxed);
            refuse_unread(request, Reason::Overload);
            return;
        }
        let gateway = Arc::clone(self);
        let work = move || {
            gateway.route(request);
            gateway.active.fetch_sub(1, Ordering::Relaxed);
        };
        if thread::Builder::new().stack_size(STACK_BYTES).spawn(work).is_err() {
            self.active.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn route(&self, request: Request) {
        let path = request.url().split('?').next().unwrap_or_default().to_owned();
        match path.as_str() {
            "/healthz" => reply(request, 200, "text/plain", "alive\n"),
            "/readyz" => self.ready(request),
            "/metrics" => reply(request, 200, "text/plain; version=0.0.4", self.operate.metrics()),
            "/operator/query" | "/operator/command" => self.operate.serve(request),
            "/v1/resume" => call::resume(self, request),
            _ => call::serve(self, request),
        }
    }

    fn ready(&self, request: Request) {
        let is_ready = self.handle.ask(|instance, _| instance.is_ready()).unwrap_or(false);
        if is_ready {
            reply(request, 200, "text/plain", "ready\n");
        } else {
            reply(request, 503, "text/plain", "not ready\n");
        }
    }
}

/// The accepted sockets inherit these from the listening one.
fn set_options(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE / 2);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_write_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}

/// Refuses a request before it was read. Without a key this one try is all
/// there is, so it did not run; with one, another try may have.
pub(crate) fn refuse_unread(request: Request, reason: Reason) {
    let keyed = header(&request, "Idempotency-Key").is_some();
    let outcome = if keyed { Outcome::Unknown } else { Outcome::NotRun };
    Problem::refused(None, outcome, reason, UNREAD_RETRY_AFTER).send(request);
}

/// Answers with a whole body.
pub(crate) fn reply(
    request: Request,
    status: u16,
    content_type: impl AsRef<[u8]>,
    body: impl Into<Vec<u8>>,
) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", content_type.as_ref()) {
        response.add_header(header);
    }
    // The caller may have left.
    let _ = request.respond(response);
}

/// The value of a header.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.equiv(name))?;
    Some(found.value.as_str().to_owned())
}

/// The credential that a caller presents.
pub(crate) fn credential(request: &Request) -> Option<String> {
    let value = header(request, "Authorization")?;
    Some(value.strip_prefix("Bearer ")?.trim().to_owned())
}
