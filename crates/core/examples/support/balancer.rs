//! Baseline policies: each request is dispatched at once, in order of arrival.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rosemarypond_core::claim::{Ended, Verdict};
use rosemarypond_core::config::Document;
use rosemarypond_core::event::{Action, Event};
use rosemarypond_core::id;
use rosemarypond_core::outcome::{Outcome, Reason};
use rosemarypond_core::request::Request;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    RoundRobin,
    LeastOutstanding,
}

#[derive(Debug)]
pub struct Balancer {
    choice: Choice,
    zone: id::Zone,
    upstreams: Vec<(id::Upstream, id::Service)>,
    outstanding: BTreeMap<id::Upstream, u32>,
    held: HashMap<id::Request, (Request, id::Upstream)>,
    rotation: usize,
}

impl Balancer {
    pub fn new(choice: Choice, zone: id::Zone) -> Self {
        Self {
            choice,
            zone,
            upstreams: Vec::new(),
            outstanding: BTreeMap::new(),
            held: HashMap::new(),
            rotation: 0,
        }
    }

    /// Whether it has upstreams to send requests to.
    pub fn is_ready(&self) -> bool {
        !self.upstreams.is_empty()
    }

    fn configure(&mut self, document: &Document) {
        let own = document.upstreams.iter().filter(|u| u.zone == self.zone);
        self.upstreams = own.map(|u| (u.id.clone(), u.service.clone())).collect();
    }

    pub fn handle(&mut self, _now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Configured { document, .. } => self.configure(&document),
            Event::Arrived(request) => return self.arrived(request),
            Event::CallerLeft(request) => return vec![Action::Cancel { request }],
            Event::Ended { request, how, .. } => return self.ended(request, how),
            _ => {}
        }
        Vec::new()
    }

    fn arrived(&mut self, request: Request) -> Vec<Action> {
        let candidates: Vec<_> =
            self.upstreams.iter().filter(|(_, s)| *s == request.service).map(|(u, _)| u).collect();
        self.rotation += 1;
        let upstream = match self.choice {
            Choice::RoundRobin => candidates[self.rotation % candidates.len()].clone(),
            Choice::LeastOutstanding => {
                let load = |u: &&&id::Upstream| self.outstanding.get(**u).copied().unwrap_or(0);
                (*candidates.iter().min_by_key(load).expect("a service has upstreams")).clone()
            }
        };
        *self.outstanding.entry(upstream.clone()).or_default() += 1;
        let id = request.id;
        self.held.insert(id, (request, upstream.clone()));
        vec![Action::Dispatch { request: id, upstream }]
    }

    fn ended(&mut self, request: id::Request, how: Ended) -> Vec<Action> {
        let Some((_, upstream)) = self.held.remove(&request) else { return Vec::new() };
        if let Some(count) = self.outstanding.get_mut(&upstream) {
            *count -= 1;
        }
        let verdict = match how {
            Ended::Whole => Verdict::Deliver,
            Ended::NotDispatched => Verdict::Refuse(Outcome::NotRun, Reason::NoUpstream),
            Ended::Broken => Verdict::Refuse(Outcome::Unknown, Reason::UpstreamFailed),
        };
        vec![Action::Answer { request, verdict, retry_after: Duration::from_secs(1) }]
    }
}
