//! Polls the platform for its configuration and its list of instances.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rosemarypond_core::event::Event;
use rosemarypond_core::member;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::peer::Links;
use crate::platform::{Client, Listed};
use crate::runtime::Handle;

/// Polls of the configuration per read of the list of instances, which is long
/// at 410 instances. Heartbeats show failures sooner than the list.
const ROUNDS_PER_LIST: u64 = 10;
/// The polls after a start that each read the list as well.
const STARTUP_ROUNDS: u64 = 10;

/// Polls the platform on behalf of an instance.
pub struct Follower {
    /// The client of the platform.
    pub platform: Client,
    /// Access to the scheduler.
    pub handle: Handle,
    /// The links to the peers.
    pub links: Links,
    /// The instances in the platform's list when it was last read.
    pub listed: Rc<RefCell<Vec<Listed>>>,
    /// This instance.
    pub own: Listed,
    /// The log of state changes.
    pub logger: Logger,
    /// Whether the last poll succeeded.
    pub is_up: bool,
}

impl Follower {
    /// Polls at intervals of about `poll` until the thread ends.
    pub async fn run(mut self, poll: Duration) {
        let mut is_registered = false;
        for round in 0u64.. {
            is_registered = is_registered || self.platform.register(&self.own).await.is_ok();
            let mut is_up = self.follow_config().await;
            // Instances that start at the same time are not in the list at once.
            if round < STARTUP_ROUNDS || round.is_multiple_of(ROUNDS_PER_LIST) {
                is_up &= self.follow_list().await;
            }
            self.record_platform_state(is_up);
            // Jitter spreads the polls of instances that started together.
            let pause = poll.mul_f64(rand::rng().random_range(0.75..1.25));
            sleep(pause).await;
        }
    }

    async fn follow_config(&self) -> bool {
        let Some(known) = self.handle.ask(|instance, _| instance.config().0) else { return true };
        match self.platform.config_newer_than(known).await {
            Ok(Some((version, document))) => {
                let document = Arc::new(document);
                self.handle.event(Event::Configured { version, document });
                true
            }
            Ok(None) => true,
            Err(e) => {
                slog::debug!(self.logger, "could not read the configuration; keeping the current one";
                    "error" => e.to_string());
                false
            }
        }
    }

    async fn follow_list(&self) -> bool {
        let Ok(list) = self.platform.instances().await else { return false };
        let peers = member::select_peers(&self.own.instance, &self.own.zone, &list, |l| {
            (&l.instance, &l.zone)
        });
        self.links.set_peers(&self.own.zone, peers);
        self.listed.replace(list);
        true
    }

    fn record_platform_state(&mut self, is_up: bool) {
        if self.is_up != is_up {
            self.is_up = is_up;
            if is_up {
                info!(self.logger, "reading from the platform works again");
            } else {
                warn!(
                    self.logger,
                    "could not read from the platform; keeping the last configuration and instances"
                );
            }
        }
    }
}
