//! The shared configuration, held by the platform's table service.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::id;

/// The most tiers that a configuration may name.
pub const MAX_TIERS: usize = 16;

/// A version of the configuration; versions only rise.
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

/// A tier of requests; its place in [`Document::tiers`] is its rank.
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
    /// The tier of its requests where no rule says otherwise.
    pub tier: id::Tier,
    /// The SHA-256 digest of its credential.
    pub credential_sha256: Digest,
}

/// An operator, who may ask and command.
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
    /// The key is closed for good, so that "not run" stays true.
    #[default]
    CloseKey,
    /// The key stays open for a retry, and the outcome is called unknown.
    KeepKey,
}

/// Maps paths to a service, a tier and the way requests may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The beginning of the paths that it covers; the longest match wins.
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
    /// A model engine, which batches continuously.
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
    /// The most requests that run on it at once.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
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
    /// Signs resume tokens; without it none are issued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_secret: Option<String>,
    /// Where the team with a credential's digest stands.
    #[serde(skip)]
    pub team_index: TeamIndex,
}

/// Where teams stand by their credential's digest, found when first asked for.
///
/// It says nothing of what a document holds: all are equal.
#[derive(Clone, Debug, Default)]
pub struct TeamIndex(OnceLock<HashMap<Digest, u32>>);

impl PartialEq for TeamIndex {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for TeamIndex {}

/// Why a document is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a document.
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
        /// What kind of entry it is.
        kind: &'static str,
        /// The identifier.
        id: String,
    },
    /// An entry names another one that is not there.
    #[error("The {kind} '{id}' names the {missing_kind} '{missing}', which does not exist.")]
    Missing {
        /// What kind of entry names it.
        kind: &'static str,
        /// The identifier of that entry.
        id: String,
        /// What kind of entry is missing.
        missing_kind: &'static str,
        /// The identifier that is missing.
        missing: String,
    },
    /// A value is out of its range.
    #[error("The {kind} '{id}' needs {expected}.")]
    Value {
        /// What kind of entry it is.
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
        let wrong = || Error::Digest(text.to_owned());
        let is_hex = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 64 || !is_hex {
            return Err(wrong());
        }
        let mut bytes = [0; 32];
        for (place, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[place * 2..place * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| wrong())?;
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

fn unique<'a>(
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

fn known(
    (kind, id): (&'static str, &str),
    (missing_kind, missing): (&'static str, &str),
    set: &BTreeSet<&str>,
) -> Result<(), Error> {
    if set.contains(missing) {
        return Ok(());
    }
    Err(Error::Missing { kind, id: id.into(), missing_kind, missing: missing.into() })
}

fn in_range(
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
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the text or with what it means.
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

    /// Checks what the document means.
    ///
    /// # Errors
    ///
    /// Names the first entry that is wrong and what was expected.
    pub fn check(&self) -> Result<(), Error> {
        if self.tiers.is_empty() || self.tiers.len() > MAX_TIERS {
            return Err(Error::Tiers(self.tiers.len()));
        }
        let tiers = unique("tier", self.tiers.iter().map(|t| t.id.as_str()))?;
        unique("team", self.teams.iter().map(|t| t.id.as_str()))?;
        unique("operator", self.operators.iter().map(|o| o.id.as_str()))?;
        unique("rule", self.rules.iter().map(|r| r.path_prefix.as_str()))?;
        unique("upstream", self.upstreams.iter().map(|u| u.id.as_str()))?;
        self.check_credentials()?;
        let services: BTreeSet<_> = self.upstreams.iter().map(|u| u.service.as_str()).collect();
        for tier in &self.tiers {
            in_range("tier", &tier.id, tier.deadline_ms > 0, "a deadline_ms above 0")?;
        }
        for team in &self.teams {
            known(("team", team.id.as_str()), ("tier", team.tier.as_str()), &tiers)?;
        }
        for rule in &self.rules {
            self.check_rule(rule, &tiers, &services)?;
        }
        for upstream in &self.upstreams {
            in_range("upstream", &upstream.id, upstream.slots > 0, "1 or more slots")?;
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
        in_range("rule", &rule.path_prefix, absolute, "a path_prefix that begins with '/'")?;
        known(name, ("service", rule.service.as_str()), services)?;
        match &rule.tier {
            Some(tier) => known(name, ("tier", tier.as_str()), tiers),
            None => Ok(()),
        }
    }

    /// The rank of a tier; 0 is the highest.
    pub fn rank(&self, tier: &id::Tier) -> Option<u8> {
        let place = self.tiers.iter().position(|t| t.id == *tier)?;
        u8::try_from(place).ok()
    }

    /// The team that a credential belongs to.
    pub fn team(&self, credential: impl AsRef<str>) -> Option<&Team> {
        let digest = digest(credential.as_ref());
        let places = self.team_index.0.get_or_init(|| self.places());
        let team = self.teams.get(*places.get(&digest)? as usize)?;
        (team.credential_sha256 == digest).then_some(team)
    }

    fn places(&self) -> HashMap<Digest, u32> {
        let teams = self.teams.iter().zip(0..);
        teams.map(|(team, place)| (team.credential_sha256, place)).collect()
    }

    /// The operator that a credential belongs to.
    pub fn operator(&self, credential: impl AsRef<str>) -> Option<&Operator> {
        let digest = digest(credential.as_ref());
        self.operators.iter().find(|o| o.credential_sha256 == digest)
    }

    /// The rule with the longest prefix of a path.
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
