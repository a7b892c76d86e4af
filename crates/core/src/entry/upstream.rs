//! One upstream as an instance knows it: what runs on it here and at peers,
//! how fast and how sound it is.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip;
use super::pace::Pace;
use crate::hash::stable_hash;
use crate::id;
use crate::unit::Tokens;

/// The first pause of an upstream that could not be reached.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause of an upstream that could not be reached.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// The pause of an upstream that rejects one request after the other: it looks
/// empty, and would draw all that waits.
const REJECTION_PAUSE: Duration = Duration::from_millis(150);
/// So many rejections in a row are borne without a pause.
const BORNE_REJECTIONS: u32 = 1;
/// How much one outcome counts in the share of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// The time in which the share of failures halves by itself, so that a sick
/// upstream is tried again now and then.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// What a certain failure costs, counted as time.
const FAILURE_COST: Duration = Duration::from_millis(2_500);
/// What the way to another availability zone costs, counted as time.
const ZONE_COST: Duration = Duration::from_millis(30);
/// The least cost that spreads instances over different upstreams.
const MIN_SPREAD_COST: Duration = Duration::from_millis(25);
/// How many requests for each slot a plain service is given: it queues some,
/// and the order among them matters little.
const PLAIN_QUEUE: u32 = 2;
/// The same where the instances of a zone share it unseen.
const SHARED_PLAIN_QUEUE: u32 = 4;

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its identifier.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
}

/// How well an instance sees what its peers run.
#[derive(Clone, Copy, Debug)]
pub struct Visibility {
    /// Whether it hears the peers of other availability zones.
    pub is_full_mesh: bool,
    /// How old what it hears may be: instances that see the same old state
    /// are spread over different upstreams by as much.
    pub lag: Duration,
    /// The instances whose state it hears, with itself.
    pub near: u32,
}

/// An upstream as the directory lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Registration {
    /// Its identifier.
    pub id: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The most requests that it runs at once.
    pub slots: u32,
    /// The life of the upstream: another value is another process.
    pub born: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One request that runs on an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    since: Instant,
    prompt: Tokens,
    /// Prompt tokens that were to be processed up to and with this request.
    work: Tokens,
    first: Option<Instant>,
}

/// What a peer runs on an upstream.
#[derive(Clone, Copy, Debug)]
struct Foreign {
    running: u32,
    prefill: Tokens,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its entry in the directory.
    pub registration: Registration,
    /// How fast it works.
    pub pace: Pace,
    running: BTreeMap<id::Request, Run>,
    foreign: HashMap<id::Instance, Foreign>,
    failures: f64,
    failures_at: Option<Instant>,
    pause: Duration,
    paused_until: Option<Instant>,
    /// Requests that it rejected since it last took one.
    rejections: u32,
    is_removed: bool,
}

/// What an upstream is expected to do with a request.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// The time to the first token or byte.
    pub first: Duration,
    /// The time to the end, with what speaks against the upstream.
    pub cost: Duration,
}

impl Upstream {
    /// An upstream of which only its entry is known.
    pub(super) fn new(listed: Registration) -> Self {
        Self {
            registration: listed,
            pace: Pace::default(),
            running: BTreeMap::new(),
            foreign: HashMap::new(),
            failures: 0.0,
            failures_at: None,
            pause: MIN_PAUSE,
            paused_until: None,
            rejections: 0,
            is_removed: false,
        }
    }

    /// Whether it gets new work.
    pub fn is_open(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !self.is_removed && !self.registration.leaving && !paused
    }

    /// Requests that run on it, as far as this instance knows.
    pub fn running(&self) -> u32 {
        self.running.len() as u32 + self.foreign.values().map(|f| f.running).sum::<u32>()
    }

    /// Requests of this instance that run on it.
    pub fn own_running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Whether one more request would find a slot, or a short queue.
    ///
    /// A plain service answers many requests in the time that passes until
    /// many peers have told what they run on it: there each instance keeps to
    /// an equal share of its slots and its queue instead.
    pub(super) fn has_room(&self, call: &Call, sight: Visibility) -> bool {
        if call.prompt.0 > 0 {
            return self.running() < self.registration.slots;
        }
        if sight.is_full_mesh {
            return self.running() < self.registration.slots * PLAIN_QUEUE;
        }
        let share = self.registration.slots * SHARED_PLAIN_QUEUE / sight.near.max(1);
        self.own_running() < share.max(1)
    }

    fn own_prefill(&self) -> u32 {
        self.running.values().filter(|r| r.first.is_none()).map(|r| r.prompt.0).sum()
    }

    fn prefill(&self) -> u32 {
        self.own_prefill() + self.foreign.values().map(|f| f.prefill.0).sum::<u32>()
    }

    fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failures_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        self.failures * 0.5f64.powf(elapsed / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// The time to the first token if nothing else ran on it.
    pub fn idle_first_time(&self, call: &Call) -> Duration {
        if call.prompt.0 == 0 {
            return Duration::from_secs_f64(self.pace.call_ms / 1e3);
        }
        self.pace.first_time(call.prompt)
    }

    pub(super) fn estimate(
        &self,
        call: &Call,
        now: Instant,
        place: &Location,
        sight: Visibility,
    ) -> Estimate {
        let (first, end) = if call.prompt.0 == 0 {
            let first = Duration::from_secs_f64(self.pace.call_ms / 1e3);
            let crowd = f64::from(self.running()) / f64::from(self.registration.slots.max(1));
            (first, first.mul_f64(1.0 + crowd))
        } else {
            let first = self.pace.first_time(Tokens(self.prefill() + call.prompt.0));
            (first, first + self.pace.answer_time(call.answer, self.running()))
        };
        let zone = if self.registration.zone == place.zone { Duration::ZERO } else { ZONE_COST };
        let turn = stable_hash((place.instance.as_str(), self.registration.id.as_str())) % 1_024;
        let against = FAILURE_COST.mul_f64(self.failure_share(now))
            + zone
            + MIN_SPREAD_COST.max(sight.lag).mul_f64(turn as f64 / 1_024.0);
        Estimate { first, cost: end + against }
    }

    pub(super) fn note_outcome(&mut self, is_failure: bool, now: Instant) {
        let share = self.failure_share(now);
        let seen = if is_failure { 1.0 } else { 0.0 };
        self.failures = share + FAILURE_WEIGHT * (seen - share);
        self.failures_at = Some(now);
    }

    pub(super) fn rejected(&mut self, now: Instant) {
        let beyond = self.rejections.saturating_sub(BORNE_REJECTIONS);
        if self.rejections >= BORNE_REJECTIONS {
            let pause = REJECTION_PAUSE * 2u32.pow(beyond.min(8));
            self.paused_until = Some(now + pause.min(MAX_PAUSE));
        }
        self.rejections += 1;
    }

    fn took(&mut self) {
        self.pause = MIN_PAUSE;
        self.rejections = 0;
    }

    pub(super) fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    /// Takes over its entry in the directory; says whether anything changed
    /// that logs should tell of.
    pub(super) fn relist(&mut self, listed: Registration) -> bool {
        if self.registration.born != listed.born {
            // Another process: nothing that was learnt holds for it.
            let running = std::mem::take(&mut self.running);
            *self = Self { running, ..Self::new(listed) };
            return true;
        }
        let is_news = self.registration.leaving != listed.leaving || self.is_removed;
        self.is_removed = false;
        self.registration = listed;
        is_news
    }

    /// Notes that the directory no longer lists it.
    pub(super) fn unlist(&mut self) {
        self.is_removed = true;
    }

    /// Whether it is no longer listed and nothing of this instance runs on it.
    pub(super) fn is_over(&self) -> bool {
        self.is_removed && self.running.is_empty()
    }

    /// Notes that a request was sent.
    pub(super) fn sent(&mut self, call: &Call, now: Instant) {
        let work = Tokens(self.prefill() + call.prompt.0);
        let run = Run { since: now, prompt: call.prompt, work, first: None };
        self.running.insert(call.id, run);
    }

    /// Notes the first token of a request.
    pub(super) fn first(&mut self, request: id::Request, now: Instant) {
        self.took();
        let Some(run) = self.running.get_mut(&request) else { return };
        if run.first.is_some() || run.prompt.0 == 0 {
            return;
        }
        run.first = Some(now);
        let (work, taken) = (run.work, now.saturating_duration_since(run.since));
        self.pace.learn_first(work, taken);
    }

    /// Notes that a request ended; `tokens` are given for a whole answer.
    pub(super) fn ended(&mut self, request: id::Request, tokens: Option<Tokens>, now: Instant) {
        let Some(run) = self.running.remove(&request) else { return };
        let Some(tokens) = tokens else { return };
        self.took();
        match run.first {
            Some(first) => {
                self.pace.learn_answer(tokens, now.saturating_duration_since(first));
            }
            None if run.prompt.0 == 0 => {
                self.pace.learn_call(now.saturating_duration_since(run.since));
            }
            None => {}
        }
    }

    /// Takes over what a peer runs on it.
    pub(super) fn hear(&mut self, from: &id::Instance, load: &gossip::Load) {
        self.pace.learn_from(&load.pace);
        if load.running > 0 {
            let foreign = Foreign { running: load.running, prefill: load.prefill };
            self.foreign.insert(from.clone(), foreign);
        }
    }

    /// Forgets what a peer runs on it.
    pub(super) fn forget(&mut self, peer: &id::Instance) {
        self.foreign.remove(peer);
    }

    /// What this instance runs on it, for peers.
    pub(super) fn load(&self) -> gossip::Load {
        gossip::Load {
            upstream: self.registration.id.clone(),
            running: self.own_running(),
            prefill: Tokens(self.own_prefill()),
            pace: self.pace,
        }
    }
}
