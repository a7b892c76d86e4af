//! Takes connections from callers and serves requests on them.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rosemarypond_core::entry::plan::Limits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::reply::Reply;
use crate::{clock, socket};

/// How often a connection's idle time is looked at.
const IDLE_CHECK: Duration = Duration::from_secs(1);
/// How long an idle connection stays open after the stop, so that a request
/// that is on its way is still answered.
const STOP_DELAY: Duration = Duration::from_millis(1_200);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer for a request, which hyper requires.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// What a server is made with.
pub struct Options {
    /// The most connections at once.
    pub max_connections: usize,
    /// What callers may send.
    pub limits: Box<dyn Fn() -> Limits>,
    /// Turns true when the instance stops.
    pub stop: watch::Receiver<bool>,
}

/// When a connection was last at work.
struct Activity {
    requests: Cell<u32>,
    last: RefCell<Instant>,
}

impl Activity {
    fn idle_time(&self) -> Duration {
        if self.requests.get() > 0 {
            return Duration::ZERO;
        }
        clock::now().saturating_duration_since(*self.last.borrow())
    }
}

/// Marks a request as being served, until it is dropped.
struct Busy(Rc<Activity>);

impl Busy {
    fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        Self(activity)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        *self.0.last.borrow_mut() = clock::now();
    }
}

/// Serves connections until the thread ends.
pub async fn serve<F, S>(listener: TcpListener, options: Options, service: S)
where
    F: Future<Output = Response<Reply>> + 'static,
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
{
    let options = Rc::new(options);
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= options.max_connections {
            continue;
        }
        open.set(open.get() + 1);
        let (options, open, service) = (options.clone(), open.clone(), service.clone());
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
    let _ = socket::watch(&stream);
    let limits = (options.limits)();
    let activity =
        Rc::new(Activity { requests: Cell::new(0), last: RefCell::new(clock::now()) });
    let stop = options.stop.clone();
    let serving = activity.clone();
    let service = service_fn(move |request| {
        let busy = Busy::new(serving.clone());
        let response = service(request);
        let stop = stop.clone();
        async move {
            let _busy = busy;
            let mut response = response.await;
            if *stop.borrow() {
                let close = hyper::header::HeaderValue::from_static("close");
                response.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut stop = options.stop.clone();
    let mut is_closing = false;
    loop {
        tokio::select! {
            // An error concerns this connection only, which ends with it.
            _ = connection.as_mut() => return,
            () = stopped(&mut stop), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(IDLE_CHECK), if !is_closing => {
                if activity.idle_time() > (options.limits)().idle_time {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// Completes some time after the instance was told to stop.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A sender that is gone stops nothing.
    if stop.wait_for(|is_stopped| *is_stopped).await.is_err() {
        std::future::pending::<()>().await;
    }
    sleep(STOP_DELAY).await;
}
