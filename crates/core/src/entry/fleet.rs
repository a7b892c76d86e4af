//! The upstreams as one instance knows them: who they are, what runs on them
//! here and at peers, how fast and how sound they are.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::call::Call;
use super::gossip;
use super::pace::Pace;
use crate::hash::spread;
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

/// An upstream as the directory lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
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
    pub listed: Listed,
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
    fn new(listed: Listed) -> Self {
        Self {
            listed,
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
        !self.is_removed && !self.listed.leaving && !paused
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
    fn has_room(&self, call: &Call, sight: Sight) -> bool {
        if call.prompt.0 > 0 {
            return self.running() < self.listed.slots;
        }
        if sight.is_wide {
            return self.running() < self.listed.slots * PLAIN_QUEUE;
        }
        let share = self.listed.slots * SHARED_PLAIN_QUEUE / sight.near.max(1);
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

    fn estimate(&self, call: &Call, now: Instant, place: &Place, sight: Sight) -> Estimate {
        let (first, end) = if call.prompt.0 == 0 {
            let first = Duration::from_secs_f64(self.pace.call_ms / 1e3);
            let crowd = f64::from(self.running()) / f64::from(self.listed.slots.max(1));
            (first, first.mul_f64(1.0 + crowd))
        } else {
            let first = self.pace.first_time(Tokens(self.prefill() + call.prompt.0));
            (first, first + self.pace.answer_time(call.answer, self.running()))
        };
        let zone = if self.listed.zone == place.zone { Duration::ZERO } else { ZONE_COST };
        let turn = spread((place.instance.as_str(), self.listed.id.as_str())) % 1_024;
        let against = FAILURE_COST.mul_f64(self.failure_share(now))
            + zone
            + MIN_SPREAD_COST.max(sight.lag).mul_f64(turn as f64 / 1_024.0);
        Estimate { first, cost: end + against }
    }

    fn note_outcome(&mut self, is_failure: bool, now: Instant) {
        let share = self.failure_share(now);
        let seen = if is_failure { 1.0 } else { 0.0 };
        self.failures = share + FAILURE_WEIGHT * (seen - share);
        self.failures_at = Some(now);
    }

    fn rejected(&mut self, now: Instant) {
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

    fn pause(&mut self, now: Instant) {
        self.paused_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}

/// Where this instance stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its identifier.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
}

/// How well an instance sees what its peers run.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// Whether it hears the peers of other availability zones.
    pub is_wide: bool,
    /// How old what it hears may be: instances that see the same old state
    /// are spread over different upstreams by as much.
    pub lag: Duration,
    /// The instances whose state it hears, with itself.
    pub near: u32,
}

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    place: Place,
    upstreams: BTreeMap<id::Upstream, Upstream>,
}

/// What [`Fleet::choose`] says of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this upstream, which is expected to answer in this time.
    Send(id::Upstream, Duration),
    /// Let it wait.
    Wait,
    /// No upstream that could take it is known.
    Nobody,
}

impl Fleet {
    /// A fleet of which nothing is known.
    pub fn new(place: Place) -> Self {
        Self { place, upstreams: BTreeMap::new() }
    }

    /// Takes over one entry of the directory; says whether anything changed
    /// that logs should tell of.
    pub fn list(&mut self, listed: Listed) -> bool {
        match self.upstreams.get_mut(&listed.id) {
            Some(known) if known.listed.born == listed.born => {
                let is_news = known.listed.leaving != listed.leaving || known.is_removed;
                known.is_removed = false;
                known.listed = listed;
                is_news
            }
            Some(known) => {
                // Another process: nothing that was learnt holds for it.
                let running = std::mem::take(&mut known.running);
                *known = Upstream { running, ..Upstream::new(listed) };
                true
            }
            None => {
                self.upstreams.insert(listed.id.clone(), Upstream::new(listed));
                true
            }
        }
    }

    /// Drops an entry of the directory; what runs there may end.
    pub fn remove(&mut self, id: &id::Upstream) -> bool {
        let Some(known) = self.upstreams.get_mut(id) else { return false };
        known.is_removed = true;
        if known.running.is_empty() {
            self.upstreams.remove(id);
        }
        true
    }

    /// The listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = &id::Upstream> {
        self.upstreams.iter().filter(|(_, u)| !u.is_removed).map(|(id, _)| id)
    }

    /// An upstream.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Chooses the upstream on which a request is expected to end first.
    ///
    /// A request that would miss its aim on all that have room waits as long
    /// as one without room could still meet it.
    ///
    /// Where only the own availability zone is seen, other zones' upstreams
    /// are used if none of the own zone is open.
    pub fn choose(
        &self,
        call: &Call,
        excluded: &[id::Upstream],
        sight: Sight,
        now: Instant,
    ) -> Choice {
        let is_open = |u: &&Upstream| {
            u.listed.service == call.service && u.is_open(now) && !excluded.contains(&u.listed.id)
        };
        let is_near = |u: &&Upstream| u.listed.zone == self.place.zone;
        let only_near =
            !sight.is_wide && self.upstreams.values().filter(is_open).any(|u| is_near(&u));
        let mut is_known = false;
        let mut best: Option<(Estimate, &Upstream)> = None;
        let mut fastest_busy: Option<Duration> = None;
        let open = self.upstreams.values().filter(is_open);
        let open = open.filter(|u| !only_near || is_near(u));
        for upstream in open {
            is_known = true;
            if !upstream.has_room(call, sight) {
                let first = upstream.idle_first_time(call);
                fastest_busy = Some(fastest_busy.map_or(first, |f| f.min(first)));
                continue;
            }
            let estimate = upstream.estimate(call, now, &self.place, sight);
            if best.is_none_or(|(b, _)| estimate.cost < b.cost) {
                best = Some((estimate, upstream));
            }
        }
        let Some((estimate, upstream)) = best else {
            return if is_known { Choice::Wait } else { Choice::Nobody };
        };
        let is_late = now + estimate.first > call.aim;
        let could_be_in_time = fastest_busy.is_some_and(|first| now + first < call.aim);
        if is_late && could_be_in_time {
            return Choice::Wait;
        }
        Choice::Send(upstream.listed.id.clone(), estimate.first)
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, id: &id::Upstream, call: &Call, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let work = Tokens(upstream.prefill() + call.prompt.0);
        let run = Run { since: now, prompt: call.prompt, work, first: None };
        upstream.running.insert(call.id, run);
    }

    /// Notes the first token of a request.
    pub fn first(&mut self, id: &id::Upstream, request: id::Request, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.took();
        let Some(run) = upstream.running.get_mut(&request) else { return };
        if run.first.is_some() || run.prompt.0 == 0 {
            return;
        }
        run.first = Some(now);
        let (work, taken) = (run.work, now.saturating_duration_since(run.since));
        upstream.pace.learn_first(work, taken);
    }

    /// Notes that a request ended; `tokens` are given for a whole answer.
    pub fn ended(
        &mut self,
        id: &id::Upstream,
        request: id::Request,
        tokens: Option<Tokens>,
        now: Instant,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        let Some(run) = upstream.running.remove(&request) else { return };
        if let Some(tokens) = tokens {
            upstream.took();
            match run.first {
                Some(first) => {
                    let taken = now.saturating_duration_since(first);
                    upstream.pace.learn_answer(tokens, taken);
                }
                None if run.prompt.0 == 0 => {
                    upstream.pace.learn_call(now.saturating_duration_since(run.since));
                }
                None => {}
            }
        }
        if upstream.is_removed && upstream.running.is_empty() {
            self.upstreams.remove(id);
        }
    }

    /// Notes whether a request failed for a reason that lies in the upstream.
    pub fn note_outcome(&mut self, id: &id::Upstream, is_failure: bool, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.note_outcome(is_failure, now);
        }
    }

    /// Gives an upstream that could not be reached no work for a while.
    pub fn pause(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.pause(now);
        }
    }

    /// Notes that an upstream rejected a request.
    pub fn rejected(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rejected(now);
        }
    }

    /// Marks an upstream as leaving until the directory says otherwise.
    pub fn set_leaving(&mut self, id: &id::Upstream) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.listed.leaving = true;
        }
    }

    /// Takes over what a peer runs.
    pub fn hear(&mut self, from: &id::Instance, loads: &[gossip::Load]) {
        self.forget(from);
        for load in loads {
            let Some(upstream) = self.upstreams.get_mut(&load.upstream) else { continue };
            upstream.pace.learn_from(&load.pace);
            if load.running > 0 {
                let foreign = Foreign { running: load.running, prefill: load.prefill };
                upstream.foreign.insert(from.clone(), foreign);
            }
        }
    }

    /// Forgets what a peer runs.
    pub fn forget(&mut self, peer: &id::Instance) {
        for upstream in self.upstreams.values_mut() {
            upstream.foreign.remove(peer);
        }
    }

    /// What this instance runs.
    pub fn loads(&self) -> Vec<gossip::Load> {
        let used = self.upstreams.values().filter(|u| !u.running.is_empty());
        let load = |u: &Upstream| gossip::Load {
            upstream: u.listed.id.clone(),
            running: u.own_running(),
            prefill: Tokens(u.own_prefill()),
            pace: u.pace,
        };
        used.map(load).collect()
    }
}
