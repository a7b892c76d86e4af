//! The sizes of the two users' sites, and the requests that their teams send.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rosemarypond_core::config::{self, Document, KeyPolicy, Kind, Tier, Upstream};
use rosemarypond_core::engine::BLOCK_TOKENS;
use rosemarypond_core::hash::stable_hash;
use rosemarypond_core::id;
use rosemarypond_core::request::{Repeat, Request};
use rosemarypond_core::unit::Tokens;

use crate::support::engine::Speed;

pub const DEADLINES_S: [u64; 3] = [20, 40, 60];
/// How the offered requests are split over the tiers.
const TIER_SHARES: [f64; 3] = [0.2, 0.3, 0.5];
/// How the requests are split over the five teams.
const TEAM_SHARES: [f64; 5] = [0.45, 0.30, 0.15, 0.06, 0.04];

/// Four generations of engines.
pub const GENERATIONS: [Speed; 4] = [
    Speed { prefill_per_s: 3_000.0, token_ms: 40.0, slots: 8, cached_blocks: 1_500 },
    Speed { prefill_per_s: 6_000.0, token_ms: 28.0, slots: 8, cached_blocks: 2_000 },
    Speed { prefill_per_s: 10_000.0, token_ms: 20.0, slots: 12, cached_blocks: 3_000 },
    Speed { prefill_per_s: 16_000.0, token_ms: 14.0, slots: 16, cached_blocks: 4_000 },
];

/// The distribution of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The share of requests with a long prompt, of thousands of tokens.
    pub long_share: f64,
    /// The share of requests whose prompt has a prefix in common with others.
    pub shared_prefix: f64,
}

pub struct Site {
    pub zones: Vec<id::Zone>,
    pub engines_per_zone: usize,
    pub instances_per_zone: usize,
    pub service: id::Service,
}

fn parse<T: std::str::FromStr<Err = id::Error>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid id")
}

impl Site {
    pub fn named(name: &str) -> Self {
        let (region, engines_per_zone, service) = match name {
            "shutterledger" => ("cascadia", 4, "draft-models"),
            _ => ("accra", 3, "scribe-llm"),
        };
        let zones = ["a", "b", "c"].map(|zone| parse(format!("{region}-{zone}")));
        Self {
            zones: zones.to_vec(),
            engines_per_zone,
            instances_per_zone: 2,
            service: parse(service),
        }
    }

    /// The engines with their speeds; every zone has several generations.
    pub fn engines(&self) -> Vec<(Upstream, Speed)> {
        let mut engines = Vec::new();
        for zone in &self.zones {
            for index in 0..self.engines_per_zone {
                let speed = GENERATIONS[index % GENERATIONS.len()];
                let entry = Upstream {
                    id: parse(format!("{zone}-e{index}")),
                    service: self.service.clone(),
                    zone: zone.clone(),
                    address: "127.0.0.1:1".parse().expect("an address"),
                    kind: Kind::Engine,
                    slots: speed.slots as u32,
                    leaving: false,
                };
                engines.push((entry, speed));
            }
        }
        engines
    }

    pub fn document(&self) -> Document {
        let tier = |(index, seconds): (usize, &u64)| Tier {
            id: parse(format!("tier-{index}")),
            deadline_ms: seconds * 1_000,
        };
        let team = |index: usize| config::Team {
            id: parse(format!("team-{index}")),
            tier: parse("tier-0"),
            credential_sha256: config::digest(format!("team-{index}")),
        };
        Document {
            tiers: DEADLINES_S.iter().enumerate().map(tier).collect(),
            teams: (0..TEAM_SHARES.len()).map(team).collect(),
            upstreams: self.engines().into_iter().map(|(entry, _)| entry).collect(),
            ..Document::default()
        }
    }

    /// The number of requests per second that the engines can complete, without
    /// prefix caches.
    pub fn capacity(&self, mix: Mix) -> f64 {
        let (prompt, answer) = mix.mean_lengths();
        let requests_per_s = |speed: &Speed| {
            let time = prompt / speed.prefill_per_s + answer * speed.token_ms / 1_000.0;
            (speed.slots as f64 / time).min(speed.prefill_per_s / prompt)
        };
        self.engines().iter().map(|(_, speed)| requests_per_s(speed)).sum()
    }
}

impl Mix {
    fn mean_lengths(self) -> (f64, f64) {
        let short = 0.5 * (1.0 - self.long_share);
        let medium = 1.0 - self.long_share - short;
        let prompt = short * 65.0 + medium * 900.0 + self.long_share * 14_000.0;
        let answer = short * 40.0 + medium * 220.0 + self.long_share * 300.0;
        (prompt, answer)
    }

    /// Draws a random request and the length of its answer, in tokens.
    pub fn draw(
        self,
        rng: &mut ChaCha8Rng,
        id: id::Request,
        service: &id::Service,
        now: Instant,
    ) -> (Request, u32) {
        let rank = pick_weighted(rng, &TIER_SHARES) as u8;
        let team = pick_weighted(rng, &TEAM_SHARES);
        let (prompt, answer) = self.lengths(rng);
        let deadline = Duration::from_secs(DEADLINES_S[usize::from(rank)]);
        let request = Request {
            id,
            team: parse(format!("team-{team}")),
            rank,
            service: service.clone(),
            repeat: Repeat::Idempotent,
            key_policy: KeyPolicy::CloseKey,
            prompt: Tokens(prompt),
            prefix: self.prefix(rng, id, team, prompt),
            max_answer: None,
            arrived: now,
            deadline: now + deadline,
        };
        (request, answer)
    }

    fn lengths(self, rng: &mut ChaCha8Rng) -> (u32, u32) {
        if rng.random_bool(self.long_share) {
            (rng.random_range(8_000..20_000), rng.random_range(100..500))
        } else if rng.random_bool(0.5) {
            (rng.random_range(30..100), rng.random_range(10..70))
        } else {
            (rng.random_range(300..1_500), rng.random_range(60..380))
        }
    }

    /// Digests of the leading blocks; a shared prefix covers three quarters of them.
    fn prefix(self, rng: &mut ChaCha8Rng, id: id::Request, team: usize, prompt: u32) -> Vec<u64> {
        let blocks = (prompt / BLOCK_TOKENS).min(64);
        let shared = rng.random_bool(self.shared_prefix);
        let topic = rng.random_range(0..12u32);
        let shared_blocks = if shared { blocks * 3 / 4 } else { 0 };
        let digest = |block: u32| {
            if block < shared_blocks {
                stable_hash((team, topic, block))
            } else {
                stable_hash((id, block))
            }
        };
        (0..blocks).map(digest).collect()
    }
}

fn pick_weighted(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut remainder = rng.random_range(0.0..shares.iter().sum::<f64>());
    for (index, share) in shares.iter().enumerate() {
        remainder -= share;
        if remainder < 0.0 {
            return index;
        }
    }
    shares.len() - 1
}
