//! Receives requests from callers: reads and authorizes each, and submits it to
//! the scheduler.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response, http};
use rosemarypond_core::config::Version;
use rosemarypond_core::entry::call::{Call, Origin, Reason, Repeat};
use rosemarypond_core::entry::gossip::Leaving;
use rosemarypond_core::entry::plan::{Denial, Limits, Match, Plan, Team};
use rosemarypond_core::entry::proof::Proof;
use rosemarypond_core::entry::scheduler::Event;
use rosemarypond_core::entry::upstream::Registration;
use rosemarypond_core::hash::stable_hash;
use rosemarypond_core::id;
use rosemarypond_core::unit::{RequestRate, Tokens};
use slog::{Logger, info};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::body::{self, Shortage};
use crate::clock;
use crate::connections::{Activity, Connections};
use crate::delegation::{Order, Report};
use crate::dialect::{Dialect, Head, Refusal};
use crate::exchange::Exchange;
use crate::gossip::Peers;
use crate::memory::Kind;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::reply::{self, Reply};
use crate::runtime::Handle;
use crate::target::Target;

/// How long a caller is asked to wait before a retry where the instance itself
/// is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The options of a gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// How requests and responses are written as HTTP.
    pub dialect: Dialect,
    /// How old the proof that the plan is current may be for a request with a
    /// credential; any age where it is not set.
    pub proof_limit: Option<Duration>,
    /// The other instances.
    pub peers: Peers,
    /// The open connections of callers and peers.
    pub connections: Connections,
    /// Where log lines go.
    pub log: Logger,
}

/// Receives and answers the requests of callers.
pub struct Gateway {
    /// How requests and responses are written as HTTP.
    pub dialect: Dialect,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// The metrics of the instance.
    pub metrics: Metrics,
    /// Where log lines go.
    pub log: Logger,
    peers: Peers,
    /// Passes events to the scheduler.
    pub handle: Handle,
    proof_limit: Cell<Option<Duration>>,
    plan: RefCell<Option<Arc<Plan>>>,
    proof: Cell<Proof>,
    last_id: Cell<u64>,
    is_stopping: Cell<bool>,
    /// Whether no answer is waited for any more.
    has_abandoned: watch::Sender<bool>,
}

fn not_ready(reason: Reason) -> Refusal {
    Refusal::NotRun { reason, retry_after: NOT_READY_RETRY_AFTER }
}

impl Gateway {
    /// Creates a gateway without a plan, which refuses every request.
    pub fn new(options: Options, handle: Handle) -> Self {
        Self {
            dialect: options.dialect,
            pool: Pool::default(),
            metrics: Metrics::new(&options.connections),
            log: options.log,
            peers: options.peers,
            handle,
            proof_limit: Cell::new(options.proof_limit),
            plan: RefCell::new(None),
            proof: Cell::new(Proof::default()),
            last_id: Cell::new(0),
            is_stopping: Cell::new(false),
            has_abandoned: watch::channel(false).0,
        }
    }

    /// Puts a plan in force if it is newer than the one in force.
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

    /// Sets how old the proof that the plan is current may be.
    pub fn set_proof_limit(&self, proof_limit: Option<Duration>) {
        self.proof_limit.set(proof_limit);
    }

    /// Records that the plan in force was the newest at `at`.
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

    /// Records that an upstream said that it is leaving, and closes its idle
    /// connections.
    pub fn record_leaving(&self, upstream: &Registration) {
        let Registration { id, incarnation, .. } = upstream;
        let is_known = self.handle.ask(|s| s.fleet().is_leaving(id, *incarnation));
        if is_known != Some(true) {
            info!(self.log, "upstream is leaving by its answer";
                "upstream" => upstream.id.as_str());
            let leaving = Leaving { upstream: id.clone(), incarnation: *incarnation };
            self.handle.event(Event::Leaving(leaving));
        }
        self.pool.close(upstream.address);
    }

    /// Records that an upstream asked for no further request for `time`.
    pub fn record_pause(&self, upstream: &Registration, time: Duration) {
        info!(self.log, "upstream asks for a pause"; "upstream" => upstream.id.as_str(),
            "ms" => time.as_millis() as u64);
        self.handle.event(Event::Paused(upstream.id.clone(), time));
    }

    /// Records the limit that an upstream named, or that it named none, in an answer
    /// to a request that was sent at `sent`.
    pub fn record_limit(&self, upstream: &Registration, rate: Option<RequestRate>, sent: Instant) {
        let Registration { id, incarnation, .. } = upstream;
        let (was_limited, known) = self
            .handle
            .ask(|s| s.fleet().get(id).map(|u| (u.was_limited(), u.limit())))
            .flatten()
            .unwrap_or_default();
        // That a limit has ended is repeated, for peers that still keep it.
        if rate.is_none() && !was_limited {
            return;
        }
        if rate != known {
            info!(self.log, "upstream names another limit"; "upstream" => id.as_str(),
                "per_s" => rate.map(|r| r.0), "before" => known.map(|r| r.0));
        }
        let (upstream, incarnation) = (id.clone(), *incarnation);
        self.handle.event(Event::LimitStated { upstream, incarnation, rate, sent });
    }

    /// Records the rejections per second beyond which an upstream crashes, or that it
    /// named none.
    pub fn record_rejection_limit(&self, upstream: &Registration, per_second: Option<u32>) {
        let Registration { id, incarnation, .. } = upstream;
        let known = self.handle.ask(|s| s.fleet().rejection_limit(id)).flatten();
        if per_second.is_none() && known.is_none() {
            return;
        }
        if per_second != known {
            info!(self.log, "upstream names other rejections beyond which it crashes";
                "upstream" => id.as_str(), "per_s" => per_second, "before" => known);
        }
        let (upstream, incarnation) = (id.clone(), *incarnation);
        self.handle.event(Event::RejectionLimitStated { upstream, incarnation, per_second });
    }

    /// Whether the instance is ready: it is not stopping and has a plan that is
    /// known to be current.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.plan.borrow().is_some() && self.is_plan_current()
    }

    /// Marks the instance as stopping, and has the scheduler inform its peers; what still
    /// runs at `at` is cut off.
    pub fn stop(&self, at: Instant) {
        self.is_stopping.set(true);
        self.handle.event(Event::Stop(at));
    }

    /// Refuses what still waits, as the instance is about to end.
    pub fn close(&self) {
        self.handle.event(Event::Close);
    }

    /// Answers the callers of requests that still run, as the instance is about to end:
    /// their answers are lost. Streams that have begun are left to break off.
    pub fn abandon(&self) {
        self.has_abandoned.send_replace(true);
    }

    /// Whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Returns the number of requests that wait or run.
    pub fn held(&self) -> usize {
        self.handle.ask(|s| s.counts().0).unwrap_or_default()
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> Limits {
        self.plan.borrow().as_ref().map(|p| p.limits).unwrap_or_default()
    }

    /// The plan in force.
    fn plan_in_force(&self) -> Result<Arc<Plan>, Refusal> {
        self.plan.borrow().clone().ok_or_else(|| not_ready(Reason::NoPlan))
    }

    /// Whether the plan in force is known to be current, as far as `proof_limit`
    /// requires it.
    fn is_plan_current(&self) -> bool {
        let is_fresh = |limit| self.proof.get().is_fresh(clock::uptime(), limit);
        self.proof_limit.get().is_none_or(is_fresh)
    }

    /// Answers a request.
    pub async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        activity: Rc<Activity>,
    ) -> Response<Reply> {
        self.metrics.requests.inc();
        let (parts, body) = request.into_parts();
        self.respond(parts, body, activity, None).await
    }

    /// Answers a request that a peer delegated.
    pub async fn serve_delegated(
        self: Rc<Self>,
        request: Request<Incoming>,
        activity: Rc<Activity>,
    ) -> Response<Reply> {
        self.metrics.delegated_requests.inc();
        let (mut parts, body) = request.into_parts();
        match Order::take(&mut parts.headers) {
            Some(order) => self.respond(parts, body, activity, Some(order)).await,
            None => reply::full((self.dialect.refuse)(&Refusal::Malformed)),
        }
    }

    async fn respond(
        self: Rc<Self>,
        parts: http::request::Parts,
        body: Incoming,
        activity: Rc<Activity>,
        order: Option<Order>,
    ) -> Response<Reply> {
        let accepted = match (self.dialect.read_head)(&parts) {
            Err(refusal) => Err((None, refusal)),
            Ok(head) => {
                let id = head.request.clone();
                let accepted = self.accept(head, parts, body, &activity, order.as_ref()).await;
                accepted.map_err(|refusal| (Some(id), refusal))
            }
        };
        match accepted {
            Ok(exchange) => self.run_exchange(exchange).await,
            Err((request, refusal)) => {
                self.record_refusal(request.as_deref(), &refusal);
                let mut response = (self.dialect.refuse)(&refusal);
                if order.is_some() {
                    let report = Report::new((&refusal).into(), None);
                    report.write(response.headers_mut());
                }
                reply::full(response)
            }
        }
    }

    /// The address to which an attempt is sent; none where that of a peer is not
    /// known.
    pub fn address_of(&self, target: &Target) -> Option<SocketAddr> {
        match target {
            Target::Upstream { upstream, .. } => Some(upstream.address),
            Target::Peer { peer, .. } => self.peers.address(peer),
        }
    }

    /// Submits a request to the scheduler and waits for the response.
    async fn run_exchange(self: Rc<Self>, exchange: Exchange) -> Response<Reply> {
        let (answer, answered) = oneshot::channel();
        let directives = self.handle.submit(exchange.call.clone());
        let is_delegated = exchange.call.is_delegated();
        let request = exchange.head.request.clone();
        spawn_local(exchange.run(directives, answer));
        let mut has_abandoned = self.has_abandoned.subscribe();
        let answered = tokio::select! {
            // An answer that is there is passed on.
            biased;
            answered = answered => answered.ok(),
            // The sender lives as long as the gateway.
            _ = has_abandoned.wait_for(|has_abandoned| *has_abandoned) => {
                self.metrics.count_answer(Refusal::Lost.as_str());
                info!(self.log, "request still runs at the end of the instance; answer lost";
                    "request" => request);
                None
            }
        };
        answered.unwrap_or_else(|| {
            let mut response = (self.dialect.refuse)(&Refusal::Lost);
            if is_delegated {
                Report::new((&Refusal::Lost).into(), None).write(response.headers_mut());
            }
            reply::full(response)
        })
    }

    /// Reads and authorizes a request, and prepares its exchange.
    async fn accept(
        self: &Rc<Self>,
        head: Head,
        parts: http::request::Parts,
        body: Incoming,
        activity: &Rc<Activity>,
        order: Option<&Order>,
    ) -> Result<Exchange, Refusal> {
        let arrived = clock::now();
        let limits = self.plan_in_force()?.limits;
        let mut memory = activity.memory(Kind::Requests);
        let sending = activity.read_body();
        // An unread body would leave the connection unusable, so it is read before
        // the request is authorized.
        let body = body::read(body, limits.body_bytes, &mut memory, Shortage::Fail);
        let body = timeout(limits.idle_timeout, body).await.map_err(|_| Refusal::BodyTimeout)?;
        let body = body.map_err(unread)?;
        drop(sending);
        // The plan that is now proved to be current, which may be newer than the head.
        let plan = self.plan_in_force()?;
        if order.is_some_and(|order| order.plan > plan.version) {
            return Err(not_ready(Reason::Stale));
        }
        let found = plan.resolve(&head.host, parts.uri.path(), head.credential.as_deref());
        let found = found.map_err(|denial| self.refusal_for(denial))?;
        if head.credential.is_some() && !found.route.is_public && !self.is_plan_current() {
            return Err(not_ready(Reason::Stale));
        }
        let fingerprint = fingerprint(&parts, &head, found.team.as_deref(), &body);
        let call = self.new_call(&head, &found, fingerprint, arrived);
        let mut call = call.ok_or(Refusal::NoRoute)?;
        if let Some(order) = order {
            order.apply(&mut call, found.route.first_byte_timeout);
        }
        let service = plan.service(&call.service);
        let tokens_per_event = service.map_or(1, |s| s.tokens_per_event);
        let Match { route, team } = found;
        let gateway = self.clone();
        let sent_to = RefCell::default();
        Ok(Exchange {
            gateway,
            parts,
            head,
            body,
            plan: plan.version,
            route,
            team,
            call,
            tokens_per_event,
            memory,
            sent_to,
        })
    }

    /// Returns the refusal for a denial: an instance whose plan may be out of date
    /// cannot state that a route or a team does not exist.
    fn refusal_for(&self, denial: Denial) -> Refusal {
        match denial {
            _ if !self.is_plan_current() => not_ready(Reason::Stale),
            Denial::NoRoute => Refusal::NoRoute,
            Denial::NoTeam => Refusal::NoTeam,
        }
    }

    /// Logs and counts the refusal of a request that did not reach the scheduler;
    /// the request's id is not known if its head is malformed.
    fn record_refusal(&self, request: Option<&str>, refusal: &Refusal) {
        let how = refusal.as_str();
        self.metrics.count_answer(how);
        let age = self.proof_age().map(|age| age.as_millis() as u64);
        info!(self.log, "request refused"; "request" => request, "how" => how,
            "proof_age_ms" => age);
    }

    /// Describes a request to the scheduler; returns `None` where its route leads
    /// to no service.
    fn new_call(
        &self,
        head: &Head,
        found: &Match,
        fingerprint: id::Fingerprint,
        arrived: std::time::Instant,
    ) -> Option<Call> {
        let route = &found.route;
        let team = found.team.as_deref();
        let timeout =
            head.caller_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let is_resumable = route.repeat == Repeat::Resumable;
        let is_resumption = is_resumable && head.resume_after.is_some();
        let default_cost = team.map_or(0, |t| t.default_cost);
        self.last_id.set(self.last_id.get() + 1);
        Some(Call {
            id: id::Request(self.last_id.get()),
            delegation: None,
            team: team.map(|t| t.id.clone()),
            service: route.service_for(&head.request)?.clone(),
            route: id::Route(stable_hash(route.name.as_str())),
            rank: team.and_then(|t| t.rank).unwrap_or(route.rank),
            urgency: route.rank,
            repeat: route.repeat,
            max_attempts: route.max_attempts,
            arrived,
            latency_target: arrived + route.latency_target,
            first_byte_deadline: arrived + timeout.min(route.first_byte_timeout),
            deadline: arrived + timeout,
            prompt: head.prompt,
            answer: head.answer,
            cost: head.cost.unwrap_or(Tokens(default_cost)),
            stream: stream_of(head).filter(|_| is_resumable),
            origin: if is_resumption { Origin::Unknown } else { Origin::Fresh },
            fingerprint,
            shared_parts: head.shared_parts.as_slice().into(),
        })
    }
}

/// The stream that a request begins, or that it resumes if it names the request that
/// began it.
fn stream_of(head: &Head) -> Option<id::Stream> {
    let is_fresh = head.resume_after.is_none();
    let begun = if is_fresh { Some(&head.request) } else { head.resumes.as_ref() };
    begun.map(|request| id::Stream(stable_hash(request)))
}

/// What a request asks for and who sends it.
fn fingerprint(
    parts: &http::request::Parts,
    head: &Head,
    team: Option<&Team>,
    body: &[u8],
) -> id::Fingerprint {
    let path = parts.uri.path_and_query().map(|path| path.as_str());
    let team = team.map(|team| &team.id);
    id::Fingerprint(stable_hash((parts.method.as_str(), &head.host, path, team, body)))
}

/// The refusal of a request whose body was not read.
fn unread(error: body::Error) -> Refusal {
    match error {
        body::Error::TooLong => Refusal::BodyTooLong,
        body::Error::Exhausted(_) => not_ready(Reason::Memory),
        // The caller disconnected, so nobody reads this refusal.
        body::Error::Broken => Refusal::Malformed,
    }
}
