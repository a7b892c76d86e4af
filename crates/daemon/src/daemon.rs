//! Starts the parts of the daemon and ends them in order.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::Context as _;
use rand::Rng as _;
use rosemarypond_core::engine::Sharing;
use rosemarypond_core::event::Event;
use rosemarypond_core::id::Incarnation;
use rosemarypond_core::instance::{Identity, Options};
use rosemarypond_core::member;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Logger, info, warn};
use socket2::{Domain, Socket, Type};

use crate::gateway::Gateway;
use crate::operate::Operate;
use crate::peer::{self, Links, Traffic};
use crate::platform::{Client, Listed};
use crate::runtime::{Border, Handle, Runtime};
use crate::settings::Settings;
use crate::watch;

/// A running daemon.
pub struct Daemon {
    /// Where callers and operators reach it.
    pub http: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    /// Talks to its decisions.
    pub handle: Handle,
    runtime: Runtime,
    gateway: Arc<Gateway>,
    logger: Logger,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Where an address cannot be bound or the system gives no thread.
    pub fn start(settings: Settings, logger: Logger) -> eyre::Result<Self> {
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
        let traffic = Arc::new(Traffic::default());
        let links = Links::new(Arc::clone(&traffic));
        let platform = Client::new(settings.platform);
        let border =
            Border { platform: platform.clone(), links: links.clone(), logger: logger.clone() };
        let runtime = Runtime::start(options(&settings), border)?;
        let handle = runtime.handle.clone();
        let hand_over = handle.clone();
        let hear = move |message| hand_over.event(Event::Heard(message));
        peer::listen(peer, own.zone.clone(), Arc::clone(&traffic), hear);
        let listed = Arc::new(Mutex::new(Vec::new()));
        let operate = Operate::new(
            handle.clone(),
            platform.clone(),
            own.clone(),
            Arc::clone(&listed),
            traffic,
        );
        let poll = settings.poll.0;
        let gateway = Arc::new(Gateway::new(handle.clone(), settings, operate));
        Arc::clone(&gateway).serve(http)?;
        let follower = Follower {
            platform,
            handle: handle.clone(),
            links,
            listed,
            own: own.clone(),
            logger: logger.clone(),
            is_up: true,
        };
        thread::Builder::new().name("follow".into()).spawn(move || follower.run(poll))?;
        watch::start(handle.clone())?;
        info!(logger, "started"; "http" => own.http.to_string(), "peer" => own.peer.to_string());
        Ok(Self { http: own.http, peer: own.peer, handle, runtime, gateway, logger })
    }

    /// Prints the addresses, and runs until a signal asks for a drain and
    /// nothing runs any more.
    ///
    /// # Errors
    ///
    /// Where signals cannot be taken or an invariant was broken.
    pub fn run_until_drained(self) -> eyre::Result<()> {
        // Whoever reads the addresses may ask for a drain at once.
        let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("Signals cannot be taken")?;
        println!("http {} peer {}", self.http, self.peer);
        let (handle, logger) = (self.handle.clone(), self.logger.clone());
        thread::spawn(move || {
            for signal in signals.forever() {
                info!(logger, "draining"; "signal" => signal);
                handle.event(Event::Drain);
            }
        });
        self.join()
    }

    /// Waits until the instance was drained and its callers have their answers.
    ///
    /// # Errors
    ///
    /// Where an invariant was broken.
    pub fn join(self) -> eyre::Result<()> {
        self.runtime.join()?;
        let end = Instant::now() + LAST_ANSWERS;
        while self.gateway.active.load(std::sync::atomic::Ordering::Relaxed) > 0
            && Instant::now() < end
        {
            thread::sleep(Duration::from_millis(5));
        }
        info!(self.logger, "stopped");
        Ok(())
    }
}

/// How long the last answers may take to leave.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// How many connections wait to be accepted; bursts of callers come at once.
const BACKLOG: i32 = 4_096;

fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    listen(address).wrap_err_with(|| format!("The address {address} cannot be bound"))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
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

/// Every so many rounds the list of instances is read: at 410 instances it is
/// long, and heartbeats tell of failures sooner.
const ROUNDS_PER_LIST: u64 = 10;
/// So many rounds after its start an instance reads the list in each.
const EAGER_ROUNDS: u64 = 10;

/// Follows the platform's configuration and its list of instances.
struct Follower {
    platform: Client,
    handle: Handle,
    links: Links,
    listed: Arc<Mutex<Vec<Listed>>>,
    own: Listed,
    logger: Logger,
    is_up: bool,
}

impl Follower {
    fn run(mut self, poll: Duration) {
        let mut announced = false;
        for round in 0u64.. {
            announced = announced || self.platform.announce(&self.own).is_ok();
            let mut is_up = self.follow_config();
            // Soon after a start the list does not yet show what started too.
            if round < EAGER_ROUNDS || round.is_multiple_of(ROUNDS_PER_LIST) {
                is_up &= self.follow_list();
            }
            self.note_platform(is_up);
            // Instances that were started together spread out.
            thread::sleep(poll.mul_f64(rand::rng().random_range(0.75..1.25)));
        }
    }

    fn follow_config(&self) -> bool {
        let Some(known) = self.handle.ask(|instance, _| instance.config().0) else { return true };
        match self.platform.config_above(known) {
            Ok(Some((version, document))) => {
                let document = Arc::new(document);
                self.handle.event(Event::Configured { version, document });
                true
            }
            Ok(None) => true,
            Err(e) => {
                slog::debug!(self.logger, "no configuration"; "error" => e.to_string());
                false
            }
        }
    }

    fn follow_list(&self) -> bool {
        let Ok(list) = self.platform.instances() else { return false };
        let peers =
            member::select(&self.own.instance, &self.own.zone, &list, |l| (&l.instance, &l.zone));
        self.links.set_peers(&self.own.zone, peers);
        *self.listed.lock().expect("no holder panics") = list;
        true
    }

    fn note_platform(&mut self, is_up: bool) {
        if self.is_up != is_up {
            self.is_up = is_up;
            if is_up {
                info!(self.logger, "platform is back");
            } else {
                warn!(self.logger, "platform gives no answer");
            }
        }
    }
}
