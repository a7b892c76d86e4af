//! An HTTP server: accepts connections from callers and serves their requests.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

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

use crate::connections::{Activity, Connections, Serving};
use crate::reply::Reply;
use crate::socket::Keepalive;

/// How often a connection's timeouts are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// The phases of a server's life, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Accepts connections.
    Serving,
    /// Still accepts connections, and closes each after its next response.
    Leaving,
    /// Accepts no connections, and closes each as soon as it is idle.
    Closing,
}

/// The options of a server.
pub struct Options {
    /// The most connections at once.
    pub max_connections: usize,
    /// How unresponsive connections are detected.
    pub keepalive: Keepalive,
    /// Returns the limits currently in force for callers.
    pub limits: Box<dyn Fn() -> Limits>,
    /// The phase that the server is to be in.
    pub phase: watch::Receiver<Phase>,
    /// The number of open connections; the server updates it.
    pub connections: Rc<Cell<usize>>,
    /// The open connections of all servers of the process.
    pub open: Connections,
}

/// A connection that records what is received and written.
struct Stream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Stream {
    fn record(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.activity.record_written(Some(*bytes)),
            Poll::Pending => self.activity.record_written(None),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() - before;
        if self.activity.record_received(received).is_err() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record(&written);
        written
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

/// The body of a response, whose request counts as being served until the body
/// is dropped.
struct GuardedBody {
    reply: Reply,
    _serving: Serving,
}

impl Body for GuardedBody {
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

/// Serves connections until the phase is [`Phase::Closing`].
pub async fn serve<F, S>(listener: TcpListener, options: Options, service: S)
where
    F: Future<Output = Response<Reply>> + 'static,
    S: Fn(Request<Incoming>, Rc<Activity>) -> F + Clone + 'static,
{
    let options = Rc::new(options);
    let mut phase = options.phase.clone();
    let server = options.open.add_server();
    loop {
        let accepted = tokio::select! {
            // Connections that wait to be accepted are served before the listener
            // closes, which would reset them.
            biased;
            accepted = listener.accept() => accepted,
            () = wait_for_phase(&mut phase, Phase::Closing) => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connections = options.connections.clone();
        if connections.get() >= options.max_connections {
            // Makes room for a later connection; this one is closed.
            options.open.make_room(server);
            options.open.count_closed("not-accepted");
            continue;
        }
        let Ok(open) = options.open.open(server) else { continue };
        connections.set(connections.get() + 1);
        let (options, service) = (options.clone(), service.clone());
        spawn_local(async move {
            serve_connection(stream, &open.activity, &options, service).await;
            connections.set(connections.get() - 1);
        });
    }
}

async fn serve_connection<F, S>(
    stream: TcpStream,
    activity: &Rc<Activity>,
    options: &Options,
    service: S,
) where
    F: Future<Output = Response<Reply>> + 'static,
    S: Fn(Request<Incoming>, Rc<Activity>) -> F + Clone + 'static,
{
    // Without keepalive the connection still carries requests.
    let _ = options.keepalive.apply(&stream);
    let limits = (options.limits)();
    let stream = Stream { stream, activity: activity.clone() };
    let phase = options.phase.clone();
    let serving = activity.clone();
    let service = service_fn(move |request| {
        let serving_request = Serving::new(serving.clone());
        let response = service(request, serving.clone());
        let phase = phase.clone();
        async move {
            let mut response = response.await;
            if *phase.borrow() >= Phase::Leaving {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(
                response.map(|reply| GuardedBody { reply, _serving: serving_request }),
            )
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
            // Data that has arrived is handled before the timeouts are checked.
            biased;
            // An error ends this connection and concerns no other.
            _ = connection.as_mut() => return,
            () = activity.wait_until_closing() => return,
            () = activity.wait_until_ending(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = wait_for_phase(&mut phase, Phase::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = (options.limits)();
                if activity.head_time() > limits.head_timeout {
                    return;
                }
                if !is_closing && activity.idle_time() > limits.idle_timeout {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Completes when the phase is `wanted` or a later one.
async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // Without its sender the phase cannot change any more.
    if phase.wait_for(|phase| *phase >= wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}
