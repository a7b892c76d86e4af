//! Takes connections from callers and serves requests on them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rosemarypond_core::entry::plan::Limits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock;
use crate::reply::Reply;
use crate::socket::Keepalive;

/// How often a connection's idle time is looked at.
const IDLE_CHECK: Duration = Duration::from_secs(1);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer for a request, which hyper requires.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// How far a server is on its way to its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It takes connections.
    Serving,
    /// It still takes connections, and closes each after its next answer.
    Leaving,
    /// It takes no connections, and closes each as soon as it is idle.
    Closing,
}

/// What a server is made with.
pub struct Options {
    /// The most connections at once.
    pub max_connections: usize,
    /// After which times a connection counts as dead.
    pub keepalive: Keepalive,
    /// What callers may send.
    pub limits: Box<dyn Fn() -> Limits>,
    /// How far the server is on its way to its end.
    pub phase: watch::Receiver<Phase>,
    /// How many connections are open.
    pub open: Rc<Cell<usize>>,
}

/// When a connection was last at work.
struct Activity {
    requests: Cell<u32>,
    last: RefCell<Instant>,
    /// When the first byte of a head came that is not whole yet.
    head_since: Cell<Option<Instant>>,
}

impl Activity {
    fn idle_time(&self) -> Duration {
        if self.requests.get() > 0 {
            return Duration::ZERO;
        }
        clock::now().saturating_duration_since(*self.last.borrow())
    }

    /// How long a head has been on its way.
    fn head_time(&self) -> Duration {
        let since = self.head_since.get();
        since.map_or(Duration::ZERO, |since| clock::now().saturating_duration_since(since))
    }
}

/// A connection that notes when a head begins to arrive.
struct Noted {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let activity = &self.activity;
        let is_head = activity.requests.get() == 0 && buffer.filled().len() > before;
        if is_head && activity.head_since.get().is_none() {
            activity.head_since.set(Some(clock::now()));
        }
        read
    }
}

impl AsyncWrite for Noted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Marks a request as being served, until it is dropped.
struct Busy(Rc<Activity>);

impl Busy {
    fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        activity.head_since.set(None);
        Self(activity)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        *self.0.last.borrow_mut() = clock::now();
    }
}

/// The body of an answer, whose request is being served until it is sent.
struct Serving {
    reply: Reply,
    _busy: Busy,
}

impl Body for Serving {
    type Data = <Reply as Body>::Data;
    type Error = <Reply as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.reply).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.reply.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.reply.size_hint()
    }
}

/// Serves connections until the server closes.
pub async fn serve<F, S>(listener: TcpListener, options: Options, service: S)
where
    F: Future<Output = Response<Reply>> + 'static,
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
{
    let options = Rc::new(options);
    let mut phase = options.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = reached(&mut phase, Phase::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let open = options.open.clone();
        if open.get() >= options.max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let (options, service) = (options.clone(), service.clone());
        spawn_local(async move {
            serve_connection(stream, &options, service).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve_connection<F, S>(stream: TcpStream, options: &Options, service: S)
where
    F: Future<Output = Response<Reply>> + 'static,
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
{
    // A connection that cannot be watched still carries requests.
    let _ = options.keepalive.apply(&stream);
    let limits = (options.limits)();
    let activity = Rc::new(Activity {
        requests: Cell::new(0),
        last: RefCell::new(clock::now()),
        head_since: Cell::new(None),
    });
    let stream = Noted { stream, activity: activity.clone() };
    let phase = options.phase.clone();
    let serving = activity.clone();
    let service = service_fn(move |request| {
        let busy = Busy::new(serving.clone());
        let response = service(request);
        let phase = phase.clone();
        async move {
            let mut response = response.await;
            if *phase.borrow() >= Phase::Leaving {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|reply| Serving { reply, _busy: busy }))
        }
    });
    let connection = http1::Builder::new()
        .title_case_headers(true)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phase = options.phase.clone();
    let mut is_closing = false;
    loop {
        tokio::select! {
            // What has arrived goes before the judgement that nothing did.
            biased;
            // An error concerns this connection only, which ends with it.
            _ = connection.as_mut() => return,
            () = reached(&mut phase, Phase::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(IDLE_CHECK), if !is_closing => {
                let limits = (options.limits)();
                if activity.head_time() > limits.head_time {
                    return;
                }
                if activity.idle_time() > limits.idle_time {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Completes when the server has come as far as a phase.
async fn reached(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // A sender that is gone changes nothing any more.
    if phase.wait_for(|phase| *phase >= wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}
