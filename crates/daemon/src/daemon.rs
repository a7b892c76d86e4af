//! Starts the parts of the daemon and ends them in order.

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
use rosemarypond_edge::server::{self, Phase};
use rosemarypond_edge::socket::{self, Keepalive};
use rosemarypond_edge::thread::LocalRuntime;
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

use crate::follow::Follower;
use crate::gateway::Gateway;
use crate::operate::Operate;
use crate::peer::{self, Links, Traffic};
use crate::platform::{Client, Listed};
use crate::runtime::{Border, Handle};
use crate::settings::Settings;
use crate::upstream::Upstreams;

/// How long the last answers may take to leave.
const LAST_ANSWERS: Duration = Duration::from_secs(5);
/// How often it is looked whether all connections have ended.
const CLOSE_CHECK: Duration = Duration::from_millis(5);
/// How often kept connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The longest head that is read, in bytes; a longer path has an answer of its
/// own.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The most connections of callers at once.
const MAX_CONNECTIONS: usize = 16_384;
/// A caller's connection on which nothing moves for this long is probed.
pub const KEEPALIVE: Duration = Duration::from_secs(10);
/// Data that a caller does not acknowledge for this long ends its connection.
pub const USER_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon that has its addresses and does not run yet.
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
    /// Where callers and operators reach it.
    pub http: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    drain: watch::Sender<bool>,
    thread: thread::JoinHandle<eyre::Result<()>>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Where an address cannot be bound or the system gives no thread.
    pub fn start(settings: Settings, logger: Logger) -> eyre::Result<Self> {
        let bound = Bound::new(settings, logger)?;
        let (http, peer) = (bound.own.http, bound.own.peer);
        let (drain, mut asked) = watch::channel(false);
        let work = move || {
            let is_asked = async move {
                if asked.wait_for(|is_asked| *is_asked).await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            LocalRuntime::new()?.block_on(bound.run(is_asked))
        };
        let thread = thread::Builder::new().name("daemon".into()).spawn(work)?;
        Ok(Self { http, peer, drain, thread })
    }

    /// Waits until the instance was drained and its callers have their answers.
    ///
    /// # Errors
    ///
    /// Where it could not run, or an invariant was broken.
    pub fn drain(self) -> eyre::Result<()> {
        self.drain.send_replace(true);
        let ended = self.thread.join();
        ended.map_err(|_| eyre!("The daemon stopped at a broken invariant."))?
    }
}

/// Runs a daemon in this thread: prints its addresses, and ends after a signal
/// as soon as nothing runs any more.
///
/// # Errors
///
/// Where an address cannot be bound or signals cannot be taken.
pub fn run(settings: Settings, logger: Logger) -> eyre::Result<()> {
    stop_at_panics();
    let bound = Bound::new(settings, logger)?;
    LocalRuntime::new()?.block_on(async {
        // Whoever reads the addresses may ask for a drain at once.
        let mut terminate = signal(SignalKind::terminate()).wrap_err(NO_SIGNALS)?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err(NO_SIGNALS)?;
        println!("http {} peer {}", bound.own.http, bound.own.peer);
        let logger = bound.logger.clone();
        bound
            .run(async move {
                let name = tokio::select! {
                    _ = terminate.recv() => "SIGTERM",
                    _ = interrupt.recv() => "SIGINT",
                };
                info!(logger, "draining"; "signal" => name);
            })
            .await
    })
}

/// Ends the process at a broken invariant, in whichever task it shows.
fn stop_at_panics() {
    let tell = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        tell(panic);
        std::process::exit(EXIT_BROKEN);
    }));
}

/// The exit status at a broken invariant.
const EXIT_BROKEN: i32 = 1;
const NO_SIGNALS: &str = "Signals cannot be taken";

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

    /// Runs until it is told to drain and everything has ended.
    async fn run(self, drain: impl Future<Output = ()> + 'static) -> eyre::Result<()> {
        let Self { settings, http, peer, own, logger } = self;
        let traffic = Rc::new(Traffic::default());
        let links = Links::new(traffic.clone());
        let platform = Client::new(settings.platform);
        let border =
            Border { platform: platform.clone(), links: links.clone(), logger: logger.clone() };
        let handle = Handle::start(options(&settings), border);
        let listed = Rc::new(RefCell::new(Vec::new()));
        let operate = Operate::new(
            handle.clone(),
            platform.clone(),
            own.clone(),
            listed.clone(),
            traffic.clone(),
        );
        let poll = settings.poll.0;
        let idle = settings.idle.0;
        let gateway = Rc::new(Gateway::new(handle.clone(), settings, operate));
        let front = serve(http, gateway.clone(), idle)?;
        let hear = handle.clone();
        let hear = move |message| hear.event(Event::Heard(message));
        let peers = tokio::net::TcpListener::from_std(peer)?;
        spawn_local(peer::listen(peers, own.zone.clone(), traffic, hear));
        info!(logger, "started"; "http" => own.http.to_string(), "peer" => own.peer.to_string());
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
        handle.drained().await;
        front.close().await;
        info!(logger, "stopped");
        Ok(())
    }
}

/// The server for callers, as far as its end is concerned.
struct Front {
    phase: watch::Sender<Phase>,
    open: Rc<Cell<usize>>,
}

impl Front {
    /// Lets the last answers leave, and ends all connections.
    async fn close(self) {
        self.phase.send_replace(Phase::Closing);
        let closed = timeout(LAST_ANSWERS, async {
            while self.open.get() > 0 {
                sleep(CLOSE_CHECK).await;
            }
        });
        // What is not taken until then is lost with its connection.
        let _ = closed.await;
    }
}

fn serve(http: TcpListener, gateway: Rc<Gateway>, idle: Duration) -> eyre::Result<Front> {
    let front = Front { phase: watch::channel(Phase::Serving).0, open: Rc::default() };
    let limits = Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_time: idle,
        idle_time: idle,
        ..Limits::default()
    };
    let options = server::Options {
        max_connections: MAX_CONNECTIONS,
        keepalive: Keepalive {
            probe_after: KEEPALIVE,
            probe_interval: KEEPALIVE / 2,
            user_timeout: USER_TIMEOUT,
        },
        limits: Box::new(move || limits),
        phase: front.phase.subscribe(),
        open: front.open.clone(),
    };
    let listener = tokio::net::TcpListener::from_std(http)?;
    spawn_local(server::serve(listener, options, move |request| gateway.clone().serve(request)));
    Ok(front)
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
        // A later start has a higher incarnation.
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
