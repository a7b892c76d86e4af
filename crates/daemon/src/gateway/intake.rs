//! Validation of an HTTP request and its conversion for scheduler and upstream.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, header, http};
use rosemarypond_core::config::{Document, Kind, Rule, Team, fingerprint};
use rosemarypond_core::engine::BLOCK_TOKENS;
use rosemarypond_core::hash::stable_hash;
use rosemarypond_core::id;
use rosemarypond_core::request::{Key, Repeat, Request};
use rosemarypond_core::unit::Tokens;
use rosemarypond_edge::clock;
use serde_json::Value;

use super::{MAX_URL_BYTES, Problem};
use crate::head::{credential, text};
use crate::upstream::Call;

/// The longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Bytes of text that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// The most prefix digests of one request.
const MAX_PREFIX_BLOCKS: usize = 64;
/// How long past its deadline a call may run before it is cancelled.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// A valid request, as the scheduler and as the upstream receive it.
pub struct Intake {
    /// The request for the scheduler.
    pub request: Request,
    /// The request for the upstream.
    pub call: Call,
}

/// Validates and classifies a request.
///
/// # Errors
///
/// Returns the problem to answer the caller with.
pub fn parse(
    parts: &http::request::Parts,
    body: Bytes,
    id: id::Request,
    document: &Document,
) -> Result<Intake, Problem> {
    let (headers, path) = (&parts.headers, parts.uri.path());
    let url = parts.uri.path_and_query().map_or(path, |url| url.as_str());
    if url.len() > MAX_URL_BYTES {
        return Err(Problem::bad_request(
            414,
            format!("The URL is longer than {MAX_URL_BYTES} bytes."),
        ));
    }
    let team = team_of(headers, document)?;
    let no_rule = || Problem::bad_request(404, format!("No rule covers the path '{path}'."));
    let rule = document.rule(path).ok_or_else(no_rule)?;
    let key = key_of(headers)?;
    let repeat = repeat_of(&parts.method, url, rule, team, key.as_deref(), &body);
    let tier_id = rule.tier.as_ref().unwrap_or(&team.tier);
    let rank = document.rank(tier_id).expect("a valid document refers only to its own tiers");
    let tier = &document.tiers[usize::from(rank)];
    let is_engine = |u: &&rosemarypond_core::config::Upstream| {
        u.service == rule.service && u.kind == Kind::Engine
    };
    let parameters = if document.upstreams.iter().any(|u| is_engine(&u)) {
        Parameters::from_body(&body)?
    } else {
        Parameters::default()
    };
    let now = clock::now();
    let request = Request {
        id,
        team: team.id.clone(),
        rank,
        service: rule.service.clone(),
        repeat: repeat.clone(),
        key_policy: rule.refused,
        prompt: parameters.prompt,
        prefix: parameters.prefix,
        max_answer: parameters.max_answer,
        arrived: now,
        deadline: now + tier.deadline(),
    };
    let call = Call {
        id,
        method: parts.method.clone(),
        path: url.to_owned(),
        content_type: text(headers, header::CONTENT_TYPE).map(str::to_owned),
        key: key.map(|key| format!("\"{key}\"")),
        body,
        is_streamed: parameters.is_streamed,
        repeat,
        timeout: tier.deadline() + DEADLINE_GRACE,
    };
    Ok(Intake { request, call })
}

/// Returns the team that the request's credential belongs to.
///
/// # Errors
///
/// Where the credential is missing or unknown.
pub fn team_of<'a>(headers: &HeaderMap, document: &'a Document) -> Result<&'a Team, Problem> {
    let unknown =
        || Problem::bad_request(401, "A known credential is needed: 'Authorization: Bearer …'.");
    let credential = credential(headers).ok_or_else(unknown)?;
    document.team(credential).ok_or_else(unknown)
}

/// Returns the idempotency key, with or without its quotation marks in the header.
fn key_of(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = text(headers, "Idempotency-Key") else { return Ok(None) };
    let trimmed = value.trim();
    let key = trimmed.strip_prefix('"').and_then(|v| v.strip_suffix('"')).unwrap_or(trimmed);
    let printable = key.chars().all(|c| c.is_ascii_graphic() && c != '"' && c != '\\');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
        let expected = "1 to 255 printable ASCII characters without blanks, '\"' and '\\'";
        return Err(Problem::bad_request(400, format!("The Idempotency-Key needs {expected}.")));
    }
    Ok(Some(key.to_owned()))
}

fn repeat_of(
    method: &Method,
    url: &str,
    rule: &Rule,
    team: &Team,
    key: Option<&str>,
    body: &[u8],
) -> Repeat {
    let is_safe = matches!(method.as_str(), "GET" | "HEAD");
    if rule.idempotent.unwrap_or(is_safe) {
        return Repeat::Idempotent;
    }
    let Some(key) = key else { return Repeat::Once };
    let fingerprint = fingerprint([method.as_str().as_bytes(), url.as_bytes(), body]);
    Repeat::Keyed(Key { team: team.id.clone(), text: key.to_owned(), fingerprint })
}

/// What the scheduler reads from the body of a model request.
#[derive(Default)]
struct Parameters {
    prompt: Tokens,
    prefix: Vec<u64>,
    max_answer: Option<Tokens>,
    is_streamed: bool,
}

impl Parameters {
    fn from_body(body: &[u8]) -> Result<Self, Problem> {
        let invalid = |what: &str| {
            Problem::bad_request(400, format!("The body is no model request: {what}."))
        };
        let value: Value = serde_json::from_slice(body).map_err(|e| invalid(&e.to_string()))?;
        let messages =
            value["messages"].as_array().ok_or_else(|| invalid("'messages' is missing"))?;
        let text: String = messages.iter().map(Value::to_string).collect();
        let max = value["max_tokens"].as_u64().or(value["max_completion_tokens"].as_u64());
        Ok(Self {
            prompt: Tokens((text.len() / BYTES_PER_TOKEN) as u32),
            prefix: prefix_digests(text.as_bytes()),
            max_answer: max.map(|m| Tokens(m.min(u64::from(u32::MAX)) as u32)),
            is_streamed: value["stream"].as_bool().unwrap_or(false),
        })
    }
}

/// Returns a digest of each prefix that consists of whole blocks.
fn prefix_digests(text: &[u8]) -> Vec<u64> {
    let block = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let chain = |digest: &mut u64, block: &[u8]| {
        *digest = stable_hash((*digest, block));
        Some(*digest)
    };
    text.chunks_exact(block).take(MAX_PREFIX_BLOCKS).scan(0, chain).collect()
}
