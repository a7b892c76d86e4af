//! Follows the platform's configuration and its list of instances.

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

/// Every so many rounds the list of instances is read: at 410 instances it is
/// long, and heartbeats tell of failures sooner.
const ROUNDS_PER_LIST: u64 = 10;
/// So many rounds after its start an instance reads the list in each.
const EAGER_ROUNDS: u64 = 10;

/// What follows the platform.
pub struct Follower {
    /// The platform.
    pub platform: Client,
    /// Talks to the decisions.
    pub handle: Handle,
    /// The links to the peers.
    pub links: Links,
    /// The instances that the platform listed last.
    pub listed: Rc<RefCell<Vec<Listed>>>,
    /// The instance.
    pub own: Listed,
    /// Where changes of state are written.
    pub logger: Logger,
    /// Whether the platform answered when it was last asked.
    pub is_up: bool,
}

impl Follower {
    /// Asks about every `poll`, until the thread ends.
    pub async fn run(mut self, poll: Duration) {
        let mut announced = false;
        for round in 0u64.. {
            announced = announced || self.platform.announce(&self.own).await.is_ok();
            let mut is_up = self.follow_config().await;
            // Soon after a start the list does not yet show what started too.
            if round < EAGER_ROUNDS || round.is_multiple_of(ROUNDS_PER_LIST) {
                is_up &= self.follow_list().await;
            }
            self.note_platform(is_up);
            // Instances that were started together spread out.
            let pause = poll.mul_f64(rand::rng().random_range(0.75..1.25));
            sleep(pause).await;
        }
    }

    async fn follow_config(&self) -> bool {
        let Some(known) = self.handle.ask(|instance, _| instance.config().0) else { return true };
        match self.platform.config_above(known).await {
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

    async fn follow_list(&self) -> bool {
        let Ok(list) = self.platform.instances().await else { return false };
        let peers = member::select_peers(&self.own.instance, &self.own.zone, &list, |l| {
            (&l.instance, &l.zone)
        });
        self.links.set_peers(&self.own.zone, peers);
        self.listed.replace(list);
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
