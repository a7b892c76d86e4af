//! The configuration in force: routes, teams with their credentials, limits.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::call::Repeat;
use crate::config::Version;
use crate::hash::stable_hash;
use crate::id;

/// A service that takes requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// The rules for the requests below one path prefix of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host, in lower case, without a port.
    pub host: String,
    /// The prefix of its paths.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Whether its answers are event streams.
    pub is_stream: bool,
    /// The longest time that a request may take until its final answer.
    pub timeout: Duration,
    /// The time to the first byte or event that earns full credit.
    pub latency_target: Duration,
    /// The longest time that callers wait for the first byte or event.
    pub first_byte_timeout: Duration,
    /// The rank of its requests; 0 is the highest.
    pub rank: u8,
    /// The services that take its requests.
    pub targets: Vec<Target>,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// Whether requests need no credential.
    pub is_public: bool,
}

impl Route {
    /// The service that takes a request: targets share the requests by weight,
    /// and the same request always gets the same service.
    pub fn service_for(&self, request: &str) -> Option<&id::Service> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut position = stable_hash(request) % total.max(1);
        for target in &self.targets {
            if position < u64::from(target.weight) {
                return Some(&target.service);
            }
            position -= u64::from(target.weight);
        }
        self.targets.first().map(|t| &t.service)
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its identifier.
    pub id: id::Team,
    /// The rank of its requests, where it replaces the route's.
    pub rank: Option<u8>,
    /// Its quota; none if its use is not limited.
    pub quota: Option<Limit>,
    /// What a request without a declared length counts, in tokens.
    pub default_cost: u32,
}

/// A team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens beyond the rate that may be used at once.
    pub burst: f64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub head_bytes: usize,
    /// The longest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a request head.
    pub head_timeout: Duration,
    /// The longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its identifier.
    pub id: id::Service,
    /// How many tokens one event of a stream holds.
    pub tokens_per_event: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its version.
    pub version: Version,
    /// What callers may send.
    pub limits: Limits,
    routes: HashMap<String, Vec<Arc<Route>>>,
    teams: Vec<Arc<Team>>,
    credentials: HashMap<String, Arc<Team>>,
    services: HashMap<id::Service, Service>,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route covers its host and path.
    NoRoute,
    /// It carries no credential of a team.
    NoTeam,
}

/// What a request was resolved to.
#[derive(Clone, Debug)]
pub struct Match {
    /// Its route.
    pub route: Arc<Route>,
    /// Its team, where it carries a credential of one.
    pub team: Option<Arc<Team>>,
}

impl Plan {
    /// A plan of routes, teams with their credentials, and services.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: impl IntoIterator<Item = Route>,
        teams: impl IntoIterator<Item = (Team, Vec<String>)>,
        services: impl IntoIterator<Item = Service>,
    ) -> Self {
        let mut plan = Self { version, limits, ..Self::default() };
        for route in routes {
            let host = plan.routes.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in plan.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for (team, credentials) in teams {
            let team = Arc::new(team);
            plan.teams.push(team.clone());
            plan.credentials.extend(credentials.into_iter().map(|c| (c, team.clone())));
        }
        plan.services = services.into_iter().map(|s| (s.id.clone(), s)).collect();
        plan
    }

    /// Finds the route and the team of a request.
    ///
    /// # Errors
    ///
    /// If no route covers the host and path, or the route needs a credential
    /// and the request carries none of a team.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        credential: Option<&str>,
    ) -> Result<Match, Denial> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.routes.get(&host).ok_or(Denial::NoRoute)?;
        let route = routes.iter().find(|r| path.starts_with(&r.prefix)).ok_or(Denial::NoRoute)?;
        let team = credential.and_then(|c| self.credentials.get(c));
        if team.is_none() && !route.is_public && !self.teams.is_empty() {
            return Err(Denial::NoTeam);
        }
        Ok(Match { route: route.clone(), team: team.cloned() })
    }

    /// The teams.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams.iter().map(AsRef::as_ref)
    }

    /// The services of which callers may resume streams.
    pub fn resumable_services(&self) -> BTreeSet<id::Service> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.repeat == Repeat::Resumable);
        resumable.flat_map(|route| &route.targets).map(|target| target.service.clone()).collect()
    }

    /// A service, if the plan names it.
    pub fn service(&self, id: &id::Service) -> Option<&Service> {
        self.services.get(id)
    }
}
