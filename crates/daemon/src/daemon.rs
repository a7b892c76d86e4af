//! Starts the daemon's parts and stops them in order.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::{Context as _, eyre};
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::entry::plan::Limits;
use rosemarypond_core::event::Event;
use rosemarypond_core::id::Incarnation;
use rosemarypond_core::instance::{Identity, Options};
use rosemarypond_edge::connections::Connections;
use rosemarypond_edge::memory::Account;
use rosemarypond_edge::server::{self, Phase};
use rosemarypond_edge::socket::{self, Keepalive};
use rosemarypond_edge::thread::Runtime;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

use crate::follow::Follower;
use crate::gateway::Gateway;
use crate::operate::Api;
use crate::peer::{self, Links, Traffic};
use crate::platform::{Client, Listed};
use crate::runtime::{Environment, Handle};
use crate::settings::Settings;
use crate::upstream::Upstreams;

/// How long open connections may take to receive the last answers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a shutdown checks whether all connections have closed.
const CLOSE_CHECK: Duration = Duration::from_millis(5);
/// How often pooled connections are checked for idle ones.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The longest request head that is read, in bytes. It exceeds the longest
/// accepted URL, so that a longer URL gets status 414.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Idle time after which a caller's connection is probed.
pub const KEEPALIVE: Duration = Duration::from_secs(10);
/// How long a caller may leave data unacknowledged before its connection is
/// closed.
pub const USER_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon that has bound its addresses and does not run yet.
struct Bound {
    settings: Settings,
    http: TcpListener,
    peer: TcpListener,
    own: Listed,
    logger: Logger,
}

/// A daemon that runs in a thread of this process.
#[derive(Debug)]
pub struct Daemon {
    /// The address for callers and operators.
    pub http: SocketAddr,
    /// The address for peers.
    pub peer: SocketAddr,
    drain: watch::Sender<bool>,
    thread: thread::JoinHandle<eyre::Result<()>>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Where an address cannot be bound or no thread can be started.
    pub fn start(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        let bound = Bound::new(settings, logger)?;
        let (http, peer) = (bound.own.http, bound.own.peer);
        let (drain, mut drain_receiver) = watch::channel(false);
        let work = move || {
            let drain_requested = async move {
                if drain_receiver.wait_for(|is_requested| *is_requested).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            Runtime::new()?.block_on(bound.run(drain_requested))
        };
        let thread = thread::Builder::new().name("daemon".into()).spawn(work)?;
        Ok(Self { http, peer, drain, thread })
    }

    /// Drains the instance and waits until its callers have their answers.
    ///
    /// # Errors
    ///
    /// Where the daemon could not run, or its thread panicked.
    pub fn drain(self) -> eyre::Result<()> {
        self.drain.send_replace(true);
        let ended = self.thread.join();
        ended.map_err(|_| {
            eyre!("The daemon's thread panicked, which indicates a violated invariant.")
        })?
    }
}

/// Runs a daemon in this thread: prints its addresses, drains at SIGTERM or
/// SIGINT and returns when the drain is complete.
///
/// # Errors
///
/// Where an address cannot be bound or a signal handler cannot be installed.
pub fn run(settings: Settings, logger: Logger) -> eyre::Result<()> {
    exit_on_panic();
    let bound = Bound::new(settings, logger)?;
    Runtime::new()?.block_on(async {
        // Whoever reads the printed addresses may send a signal at once.
        let mut terminate = signal(SignalKind::terminate()).wrap_err(SIGNAL_HANDLER_ERROR)?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err(SIGNAL_HANDLER_ERROR)?;
        println!("http {} peer {}", bound.own.http, bound.own.peer);
        let logger = bound.logger.clone();
        bound
            .run(async move {
                let name = tokio::select! {
                    _ = terminate.recv() => "SIGTERM",
                    _ = interrupt.recv() => "SIGINT",
                };
                info!(logger, "received a signal; draining"; "signal" => name);
            })
            .await
    })
}

/// Ends the process when any task panics, as after a violated invariant.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(EXIT_PANIC);
    }));
}

/// The exit status after a panic.
const EXIT_PANIC: i32 = 1;
const SIGNAL_HANDLER_ERROR: &str = "A signal handler cannot be installed";

impl Bound {
    fn new(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        let logger = logger.new(slog::o!(
            "instance" => settings.instance.to_string(),
            "zone" => settings.zone.to_string(),
        ));
        let http = bind(settings.http)?;
        let peer = bind(settings.peer)?;
        let own = Listed {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            http: http.local_addr()?,
            peer: peer.local_addr()?,
        };
        Ok(Self { settings, http, peer, own, logger })
    }

    /// Runs until `drain` completes and the drain that follows has ended.
    async fn run(self, drain: impl Future<Output = ()> + 'static) -> eyre::Result<()> {
        let Self { settings, http, peer, own, logger } = self;
        let traffic = Rc::new(Traffic::default());
        let links = Links::new(traffic.clone());
        let platform = Client::new(settings.platform);
        let environment = Environment {
            platform: platform.clone(),
            links: links.clone(),
            logger: logger.clone(),
        };
        let handle = Handle::start(options(&settings), environment);
        let listed = Rc::new(RefCell::new(Vec::new()));
        let connections = Connections::new(Account::new(settings.memory.map(|size| size.0)));
        spawn_local(connections.clone().watch_memory(logger.clone()));
        let operator_api = Api::new(
            handle.clone(),
            platform.clone(),
            own.clone(),
            listed.clone(),
            traffic.clone(),
            connections.clone(),
        );
        let poll = settings.poll.0;
        let idle = settings.idle.0;
        let max_connections = settings.max_connections as usize;
        let gateway = Rc::new(Gateway::new(handle.clone(), settings, operator_api));
        let http_server = serve(http, gateway.clone(), idle, max_connections, connections.clone())?;
        let receive = handle.clone();
        let receive = move |message| receive.event(Event::Received(message));
        let peers = tokio::net::TcpListener::from_std(peer)?;
        spawn_local(peer::listen(peers, own.zone.clone(), traffic, connections, receive));
        info!(logger, "started; listening for callers and peers";
            "http" => own.http.to_string(), "peer" => own.peer.to_string());
        let follower = Follower {
            platform,
            handle: handle.clone(),
            links,
            listed,
            own,
            logger: logger.clone(),
            is_up: true,
        };
        spawn_local(follower.run(poll));
        spawn_local(crate::watch::follow(handle.clone()));
        spawn_local(sweep(gateway.upstreams.clone()));
        let timers = handle.clone();
        spawn_local(async move { timers.run_timers().await });
        let drained = handle.clone();
        spawn_local(async move {
            drain.await;
            drained.event(Event::Drain);
        });
        handle.wait_until_drained().await;
        http_server.close().await;
        info!(logger, "drain complete; stopped");
        Ok(())
    }
}

/// The handle to stop the server for callers.
struct Server {
    phase: watch::Sender<Phase>,
    open: Rc<Cell<usize>>,
}

impl Server {
    /// Closes all connections once they have delivered their last answers.
    async fn close(self) {
        self.phase.send_replace(Phase::Closing);
        let closed = timeout(CLOSE_TIMEOUT, async {
            while self.open.get() > 0 {
                sleep(CLOSE_CHECK).await;
            }
        });
        // Answers that are not delivered by then are lost with their connection.
        let _ = closed.await;
    }
}

fn serve(
    http: TcpListener,
    gateway: Rc<Gateway>,
    idle: Duration,
    max_connections: usize,
    open: Connections,
) -> eyre::Result<Server> {
    let http_server = Server { phase: watch::channel(Phase::Serving).0, open: Rc::default() };
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: idle,
        idle_timeout: idle,
        ..Limits::default()
    };
    let options = server::Options {
        max_connections,
        keepalive: Keepalive {
            probe_after: KEEPALIVE,
            probe_interval: KEEPALIVE / 2,
            user_timeout: USER_TIMEOUT,
        },
        limits: Box::new(move || limits),
        phase: http_server.phase.subscribe(),
        connections: http_server.open.clone(),
        open,
    };
    let listener = tokio::net::TcpListener::from_std(http)?;
    spawn_local(server::serve(listener, options, move |request, activity| {
        gateway.clone().serve(request, activity)
    }));
    Ok(http_server)
}

async fn sweep(upstreams: Upstreams) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        upstreams.sweep();
    }
}

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    socket::bind(address).wrap_err_with(|| format!("The address {address} cannot be bound"))
}

fn options(settings: &Settings) -> Options {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let micros = since_epoch.as_micros() as u64;
    let identity = Identity {
        id: settings.instance.clone(),
        // Each start has a higher incarnation than the one before.
        incarnation: Incarnation(micros),
        zone: settings.zone.clone(),
    };
    Options {
        identity,
        epoch: Instant::now(),
        epoch_micros: micros,
        seed: rand::random(),
        sharing: Sharing::Lent,
    }
}
