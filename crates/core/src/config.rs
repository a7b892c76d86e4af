//! The configuration that all instances share, stored in the platform's table
//! service.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::id;

/// The maximum number of tiers in a configuration.
pub const MAX_TIERS: usize = 16;

/// A version of the configuration; versions only increase.
///
/// ```
/// use rosemarypond_core::config::Version;
/// assert_eq!("7".parse::<Version>()?.to_string(), "7");
/// # Ok::<(), std::num::ParseIntError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A priority tier of requests; its index in [`Document::tiers`] is its rank.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its identifier.
    pub id: id::Tier,
    /// How long a request of this tier may take, in milliseconds.
    pub deadline_ms: u64,
}

impl Tier {
    /// How long a request of this tier may take.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// A team of callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its identifier.
    pub id: id::Team,
    /// The tier of its requests where no rule sets one.
    pub tier: id::Tier,
    /// The SHA-256 digest of its credential.
    pub credential_sha256: Digest,
}

/// An operator, who may send queries and commands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Its identifier.
    pub id: id::Operator,
    /// The SHA-256 digest of its credential.
    pub credential_sha256: Digest,
}

/// What happens to a key whose request is refused before it ran.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeyPolicy {
    /// The key is closed for good, so that the outcome "not run" stays true.
    #[default]
    CloseKey,
    /// The key stays open for a retry, and the outcome is reported as unknown.
    KeepKey,
}

/// Maps paths to a service, a tier, and whether requests may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The prefix of the paths that it covers; of several rules the longest prefix
    /// that matches applies.
    pub path_prefix: String,
    /// The service that runs the requests.
    pub service: id::Service,
    /// The tier, where it is not the team's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<id::Tier>,
    /// Whether requests may be repeated; by default only GET and HEAD may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// What happens to the key of a refused request.
    #[serde(default)]
    pub refused: KeyPolicy,
}

/// What kind of server an upstream is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine with continuous batching.
    Engine,
    /// A plain service.
    Plain,
}

/// An engine or plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its identifier.
    pub id: id::Upstream,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address.
    pub address: SocketAddr,
    /// What kind of server it is.
    pub kind: Kind,
    /// The maximum number of requests that run on it at once.
    pub slots: u32,
    /// Whether it is leaving and gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// The shared configuration.
///
/// Sections that a text leaves out are empty.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The tiers, highest first.
    pub tiers: Vec<Tier>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The operators.
    pub operators: Vec<Operator>,
    /// The rules.
    pub rules: Vec<Rule>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The secret that signs resume tokens; without it none are issued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_secret: Option<String>,
    /// The index of teams by credential.
    #[serde(skip)]
    pub team_index: TeamIndex,
}

/// Positions in [`Document::teams`] by credential digest, computed on first use.
///
/// It is derived from the document, so comparisons ignore it: all are equal.
#[derive(Clone, Debug, Default)]
pub struct TeamIndex(OnceLock<HashMap<Digest, u32>>);

impl PartialEq for TeamIndex {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for TeamIndex {}

/// Why a document is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not JSON, or does not have the structure of a document.
    #[error("The configuration cannot be read: {0}.")]
    Text(String),
    /// A text is not a digest.
    #[error("'{0}' is no digest; expected 64 lower-case hexadecimal digits.")]
    Digest(String),
    /// There is no tier, or there are too many.
    #[error("A configuration needs 1 to {MAX_TIERS} tiers, but this one has {0}.")]
    Tiers(usize),
    /// Two entries have the same identifier.
    #[error("The {kind} '{id}' is there twice.")]
    Duplicate {
        /// The kind of the entry.
        kind: &'static str,
        /// The identifier.
        id: String,
    },
    /// An entry refers to another one that does not exist.
    #[error("The {kind} '{id}' names the {missing_kind} '{missing}', which does not exist.")]
    Missing {
        /// The kind of the entry that refers to it.
        kind: &'static str,
        /// The identifier of that entry.
        id: String,
        /// The kind of the entry that is missing.
        missing_kind: &'static str,
        /// The identifier that is missing.
        missing: String,
    },
    /// A value is out of its range.
    #[error("The {kind} '{id}' needs {expected}.")]
    Value {
        /// The kind of the entry.
        kind: &'static str,
        /// The identifier of that entry.
        id: String,
        /// What was expected.
        expected: &'static str,
    },
}

/// A SHA-256 digest, written as 64 lower-case hexadecimal digits.
///
/// ```
/// use rosemarypond_core::config::{Digest, digest};
/// let known = digest("secret");
/// assert_eq!(known.to_string().parse::<Digest>()?, known);
/// assert!("secret".parse::<Digest>().is_err());
/// # Ok::<(), rosemarypond_core::config::Error>(())
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Digest(text.to_owned());
        let is_hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 64 || !is_hex {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// The SHA-256 digest of a credential.
///
/// ```
/// use rosemarypond_core::config::digest;
/// assert!(digest("").to_string().starts_with("e3b0c442"));
/// ```
pub fn digest(credential: impl AsRef<[u8]>) -> Digest {
    Digest(Sha256::digest(credential.as_ref()).into())
}

/// A digest of a request's method, path and body, the same in every release.
///
/// ```
/// use rosemarypond_core::config::fingerprint;
/// assert_ne!(fingerprint(["POST", "/pay"]), fingerprint(["POST/", "pay"]));
/// ```
pub fn fingerprint(parts: impl IntoIterator<Item = impl AsRef<[u8]>>) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        let part = part.as_ref();
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    u64::from_be_bytes(bytes[..8].try_into().expect("a digest has 32 bytes"))
}

fn check_unique<'a>(
    kind: &'static str,
    ids: impl Iterator<Item = &'a str>,
) -> Result<BTreeSet<&'a str>, Error> {
    let mut seen = BTreeSet::new();
    for id in ids {
        if !seen.insert(id) {
            return Err(Error::Duplicate { kind, id: id.into() });
        }
    }
    Ok(seen)
}

fn check_exists(
    (kind, id): (&'static str, &str),
    (missing_kind, missing): (&'static str, &str),
    set: &BTreeSet<&str>,
) -> Result<(), Error> {
    if set.contains(missing) {
        return Ok(());
    }
    Err(Error::Missing { kind, id: id.into(), missing_kind, missing: missing.into() })
}

fn check_value(
    kind: &'static str,
    id: impl ToString,
    ok: bool,
    expected: &'static str,
) -> Result<(), Error> {
    if ok {
        return Ok(());
    }
    Err(Error::Value { kind, id: id.to_string(), expected })
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Where the text is malformed or the document invalid.
    ///
    /// ```
    /// use rosemarypond_core::config::{Document, Error};
    /// assert_eq!(Document::parse("{}"), Err(Error::Tiers(0)));
    /// ```
    pub fn parse(text: impl AsRef<str>) -> Result<Self, Error> {
        let document: Self =
            serde_json::from_str(text.as_ref()).map_err(|e| Error::Text(e.to_string()))?;
        document.check()?;
        Ok(document)
    }

    /// Adds the sections of another part of the same document.
    pub fn append(&mut self, part: Self) {
        self.tiers.extend(part.tiers);
        self.teams.extend(part.teams);
        self.operators.extend(part.operators);
        self.rules.extend(part.rules);
        self.upstreams.extend(part.upstreams);
        self.resume_secret = self.resume_secret.take().or(part.resume_secret);
        self.team_index = TeamIndex::default();
    }

    /// Validates the document.
    ///
    /// # Errors
    ///
    /// Names the first invalid entry and what was expected.
    pub fn check(&self) -> Result<(), Error> {
        if self.tiers.is_empty() || self.tiers.len() > MAX_TIERS {
            return Err(Error::Tiers(self.tiers.len()));
        }
        let tiers = check_unique("tier", self.tiers.iter().map(|t| t.id.as_str()))?;
        check_unique("team", self.teams.iter().map(|t| t.id.as_str()))?;
        check_unique("operator", self.operators.iter().map(|o| o.id.as_str()))?;
        check_unique("rule", self.rules.iter().map(|r| r.path_prefix.as_str()))?;
        check_unique("upstream", self.upstreams.iter().map(|u| u.id.as_str()))?;
        self.check_credentials()?;
        let services: BTreeSet<_> = self.upstreams.iter().map(|u| u.service.as_str()).collect();
        for tier in &self.tiers {
            check_value("tier", &tier.id, tier.deadline_ms > 0, "a deadline_ms above 0")?;
        }
        for team in &self.teams {
            check_exists(("team", team.id.as_str()), ("tier", team.tier.as_str()), &tiers)?;
        }
        for rule in &self.rules {
            self.check_rule(rule, &tiers, &services)?;
        }
        for upstream in &self.upstreams {
            check_value("upstream", &upstream.id, upstream.slots > 0, "1 or more slots")?;
        }
        Ok(())
    }

    fn check_credentials(&self) -> Result<(), Error> {
        let teams = self.teams.iter().map(|t| t.credential_sha256);
        let mut seen = HashSet::new();
        for digest in teams.chain(self.operators.iter().map(|o| o.credential_sha256)) {
            if !seen.insert(digest) {
                return Err(Error::Duplicate { kind: "credential", id: digest.to_string() });
            }
        }
        Ok(())
    }

    fn check_rule(
        &self,
        rule: &Rule,
        tiers: &BTreeSet<&str>,
        services: &BTreeSet<&str>,
    ) -> Result<(), Error> {
        let name = ("rule", rule.path_prefix.as_str());
        let absolute = rule.path_prefix.starts_with('/');
        check_value("rule", &rule.path_prefix, absolute, "a path_prefix that begins with '/'")?;
        check_exists(name, ("service", rule.service.as_str()), services)?;
        match &rule.tier {
            Some(tier) => check_exists(name, ("tier", tier.as_str()), tiers),
            None => Ok(()),
        }
    }

    /// The rank of a tier; 0 is the highest.
    pub fn rank(&self, tier: &id::Tier) -> Option<u8> {
        let index = self.tiers.iter().position(|t| t.id == *tier)?;
        u8::try_from(index).ok()
    }

    /// The team that a credential belongs to.
    pub fn team(&self, credential: impl AsRef<str>) -> Option<&Team> {
        let digest = digest(credential.as_ref());
        let indices = self.team_index.0.get_or_init(|| self.index_teams());
        let team = self.teams.get(*indices.get(&digest)? as usize)?;
        (team.credential_sha256 == digest).then_some(team)
    }

    fn index_teams(&self) -> HashMap<Digest, u32> {
        let teams = self.teams.iter().zip(0..);
        teams.map(|(team, index)| (team.credential_sha256, index)).collect()
    }

    /// The operator that a credential belongs to.
    pub fn operator(&self, credential: impl AsRef<str>) -> Option<&Operator> {
        let digest = digest(credential.as_ref());
        self.operators.iter().find(|o| o.credential_sha256 == digest)
    }

    /// The rule with the longest prefix that covers a path.
    pub fn rule(&self, path: impl AsRef<str>) -> Option<&Rule> {
        let path = path.as_ref();
        let covers = |rule: &&Rule| covers(&rule.path_prefix, path);
        self.rules.iter().filter(covers).max_by_key(|r| r.path_prefix.len())
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
