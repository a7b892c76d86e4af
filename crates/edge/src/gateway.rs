//! Takes a request from a caller: reads it, checks what it may do, and hands
//! it to the scheduler.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response, http};
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Reason};
use rosemarypond_core::entry::plan::{Denial, Limits, Match, Plan};
use rosemarypond_core::entry::proof::Proof;
use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::id;
use rosemarypond_core::unit::Tokens;
use slog::{Logger, info};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::clock;
use crate::dialect::{Dialect, Head, Refusal};
use crate::exchange::Exchange;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reply::{self, Reply};
use crate::runtime::Handle;

/// When a caller may come back where the instance itself is not ready.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// The memory for request bodies that are held at once, in bytes.
const MAX_HELD_BODY_BYTES: usize = 64 << 20;

/// What a gateway is made with.
#[derive(Clone, Debug)]
pub struct Options {
    /// How the interface words things.
    pub dialect: Dialect,
    /// How old the proof that the plan is current may be for a request with a
    /// credential; any age where it is not set.
    pub proof_limit: Option<Duration>,
    /// Where log lines go.
    pub log: Logger,
}

/// The borders of an instance towards callers.
pub struct Gateway {
    /// How the interface words things.
    pub dialect: Dialect,
    /// Kept connections to upstreams.
    pub pool: Pool,
    /// What is counted.
    pub metrics: Metrics,
    /// Where log lines go.
    pub log: Logger,
    handle: Handle,
    proof_limit: Option<Duration>,
    plan: RefCell<Option<Arc<Plan>>>,
    proof: Cell<Proof>,
    last_id: Cell<u64>,
    held_body_bytes: Cell<usize>,
    is_stopping: Cell<bool>,
}

/// Memory that a request's body takes.
struct Room<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl Room<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Refusal> {
        let held = self.gateway.held_body_bytes.get() + bytes;
        if held > MAX_HELD_BODY_BYTES {
            return Err(not_ready(Reason::Memory));
        }
        self.gateway.held_body_bytes.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.gateway.held_body_bytes.set(self.gateway.held_body_bytes.get() - self.bytes);
    }
}

fn not_ready(reason: Reason) -> Refusal {
    Refusal::NotRun { reason, retry_after: NOT_READY_RETRY }
}

impl Gateway {
    /// A gateway without a plan, which refuses everything.
    pub fn new(options: Options, handle: Handle) -> Self {
        Self {
            dialect: options.dialect,
            pool: Pool::default(),
            metrics: Metrics::default(),
            log: options.log,
            handle,
            proof_limit: options.proof_limit,
            plan: RefCell::new(None),
            proof: Cell::new(Proof::default()),
            last_id: Cell::new(0),
            held_body_bytes: Cell::new(0),
            is_stopping: Cell::new(false),
        }
    }

    /// Puts a plan in force, unless it is older than the one that is.
    pub fn configure(&self, plan: Plan) {
        let current = self.plan_version();
        if current.is_some_and(|version| version >= plan.version) {
            return;
        }
        info!(self.log, "configuration in force"; "version" => plan.version.0,
            "before" => current.map(|v| v.0));
        let plan = Arc::new(plan);
        *self.plan.borrow_mut() = Some(plan.clone());
        self.handle.event(Event::Configured(plan));
    }

    /// Notes that the plan in force was the newest at `at`.
    pub fn renew_proof(&self, at: rosemarypond_core::entry::proof::Uptime) {
        let mut proof = self.proof.get();
        proof.renew(at);
        self.proof.set(proof);
    }

    /// The version of the plan in force.
    pub fn plan_version(&self) -> Option<Version> {
        self.plan.borrow().as_ref().map(|plan| plan.version)
    }

    /// How long ago the plan in force was known to be the newest.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof.get().age(clock::uptime())
    }

    /// Whether requests with credentials are taken.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.plan.borrow().is_some() && self.is_proven()
    }

    /// Takes no new connections and tells peers.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.handle.event(Event::Stop);
    }

    /// Whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// How many requests are held.
    pub fn held(&self) -> usize {
        self.handle.ask(|s| s.counts().0).unwrap_or_default()
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.plan.borrow().as_ref().map(|p| p.limits).unwrap_or_default()
    }

    fn is_proven(&self) -> bool {
        let fresh = |limit| self.proof.get().is_fresh(clock::uptime(), limit);
        self.proof_limit.is_none_or(fresh)
    }

    /// Answers a request.
    pub async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<Reply> {
        self.metrics.requests.inc();
        let (parts, body) = request.into_parts();
        let mut room = Room { gateway: &self, bytes: 0 };
        match self.admit(parts, body, &mut room).await {
            Err(refusal) => reply::full((self.dialect.refuse)(&refusal)),
            Ok(exchange) => self.clone().exchange(exchange).await,
        }
    }

    async fn exchange(self: Rc<Self>, exchange: Exchange) -> Response<Reply> {
        let (answer, answered) = oneshot::channel();
        let directives = self.handle.arrived(exchange.call.clone());
        spawn_local(exchange.run(directives, answer));
        match answered.await {
            Ok(response) => response,
            Err(_) => reply::full((self.dialect.refuse)(&Refusal::Lost)),
        }
    }

    async fn admit(
        self: &Rc<Self>,
        parts: http::request::Parts,
        body: Incoming,
        room: &mut Room<'_>,
    ) -> Result<Exchange, Refusal> {
        let arrived = clock::now();
        let head = (self.dialect.read_head)(&parts)?;
        let plan = self.plan.borrow().clone();
        let Some(plan) = plan else { return self.turn_down(&head, not_ready(Reason::NoPlan)) };
        // An unread body would leave the connection unusable: it is read first.
        let body = read_body(body, plan.limits.body_bytes, room);
        let body =
            timeout(plan.limits.idle_time, body).await.unwrap_or(Err(Refusal::BodyTimeout))?;
        let found = plan.resolve(&head.host, parts.uri.path(), head.credential.as_deref());
        let found = match found {
            Ok(found) => found,
            Err(denial) => return self.turn_down(&head, self.denial(denial)),
        };
        if head.credential.is_some() && !found.route.is_public && !self.is_proven() {
            return self.turn_down(&head, not_ready(Reason::Stale));
        }
        let call = self.call(&head, &found, arrived).ok_or(Refusal::NoRoute)?;
        let service = plan.service(&call.service);
        let tokens_per_event = service.map_or(1, |s| s.tokens_per_event);
        let Match { route, team } = found;
        let gateway = self.clone();
        Ok(Exchange { gateway, parts, head, body, route, team, call, tokens_per_event })
    }

    /// What a denial is worded as: an instance whose plan may be out of date
    /// cannot say that a route or a team does not exist.
    fn denial(&self, denial: Denial) -> Refusal {
        match denial {
            _ if !self.is_proven() => not_ready(Reason::Stale),
            Denial::NoRoute => Refusal::NoRoute,
            Denial::NoTeam => Refusal::NoTeam,
        }
    }

    fn turn_down<T>(&self, head: &Head, refusal: Refusal) -> Result<T, Refusal> {
        let how = match refusal {
            Refusal::NotRun { reason, .. } => reason.as_str(),
            Refusal::NoRoute => "no-route",
            Refusal::NoTeam => "no-team",
            _ => "denied",
        };
        self.metrics.answered(how);
        let age = self.proof_age().map(|age| age.as_millis() as u64);
        info!(self.log, "turned down"; "request" => &head.request, "how" => how,
            "proof_age_ms" => age);
        Err(refusal)
    }

    fn call(&self, head: &Head, found: &Match, arrived: std::time::Instant) -> Option<Call> {
        let route = &found.route;
        let team = found.team.as_deref();
        let time = head.caller_timeout.map_or(route.timeout, |p| p.min(route.timeout));
        let plain_cost = team.map_or(0, |t| t.default_cost);
        self.last_id.set(self.last_id.get() + 1);
        Some(Call {
            id: id::Request(self.last_id.get()),
            team: team.map(|t| t.id.clone()),
            service: route.service_for(&head.request)?.clone(),
            rank: team.and_then(|t| t.rank).unwrap_or(route.rank),
            urgency: route.rank,
            repeat: route.repeat,
            max_attempts: route.max_attempts,
            arrived,
            latency_target: arrived + route.latency_target,
            first_byte_deadline: arrived + time.min(route.first_byte_timeout),
            deadline: arrived + time,
            prompt: head.prompt,
            answer: head.answer,
            cost: head.cost.unwrap_or(Tokens(plain_cost)),
        })
    }
}

async fn read_body(body: Incoming, limit: usize, room: &mut Room<'_>) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::BodyTooLong);
    }
    let mut body = body;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // The caller broke off; nobody reads the answer.
        let frame = frame.map_err(|_| Refusal::Malformed)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if whole.len() + bytes.len() > limit {
            return Err(Refusal::BodyTooLong);
        }
        room.grow(bytes.len())?;
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.freeze())
}
