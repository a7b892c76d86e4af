//! The two users' sizes and the requests that their teams send.

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

/// What the requests look like.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The share of requests with a season's notes as their prompt.
    pub long_share: f64,
    /// The share of requests whose prompt begins like an earlier one.
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

    /// The engines with their speeds; every zone has unlike ones.
    pub fn engines(&self) -> Vec<(Upstream, Speed)> {
        let mut engines = Vec::new();
        for zone in &self.zones {
            for place in 0..self.engines_per_zone {
                let speed = GENERATIONS[place % GENERATIONS.len()];
                let entry = Upstream {
                    id: parse(format!("{zone}-e{place}")),
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
        let tier = |(place, seconds): (usize, &u64)| Tier {
            id: parse(format!("tier-{place}")),
            deadline_ms: seconds * 1_000,
        };
        let team = |place: usize| config::Team {
            id: parse(format!("team-{place}")),
            tier: parse("tier-0"),
            credential_sha256: config::digest(format!("team-{place}")),
        };
        Document {
            tiers: DEADLINES_S.iter().enumerate().map(tier).collect(),
            teams: (0..TEAM_SHARES.len()).map(team).collect(),
            upstreams: self.engines().into_iter().map(|(entry, _)| entry).collect(),
            ..Document::default()
        }
    }

    /// The requests a second that the engines can finish, without any cache.
    pub fn capacity(&self, mix: Mix) -> f64 {
        let (prompt, answer) = mix.means();
        let of = |speed: &Speed| {
            let time = prompt / speed.prefill_per_s + answer * speed.token_ms / 1_000.0;
            (speed.slots as f64 / time).min(speed.prefill_per_s / prompt)
        };
        self.engines().iter().map(|(_, speed)| of(speed)).sum()
    }
}

impl Mix {
    fn means(self) -> (f64, f64) {
        let short = 0.5 * (1.0 - self.long_share);
        let medium = 1.0 - self.long_share - short;
        let prompt = short * 65.0 + medium * 900.0 + self.long_share * 14_000.0;
        let answer = short * 40.0 + medium * 220.0 + self.long_share * 300.0;
        (prompt, answer)
    }

    /// Draws a request and the true length of its answer.
    pub fn draw(
        self,
        rng: &mut ChaCha8Rng,
        id: id::Request,
        service: &id::Service,
        now: Instant,
    ) -> (Request, u32) {
        let rank = pick(rng, &TIER_SHARES) as u8;
        let team = pick(rng, &TEAM_SHARES);
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

    /// Digests of the leading blocks; a shared beginning covers three quarters.
    fn prefix(self, rng: &mut ChaCha8Rng, id: id::Request, team: usize, prompt: u32) -> Vec<u64> {
        let blocks = (prompt / BLOCK_TOKENS).min(64);
        let shared = rng.random_bool(self.shared_prefix);
        let book = rng.random_range(0..12u32);
        let common = if shared { blocks * 3 / 4 } else { 0 };
        let digest = |block: u32| {
            if block < common { stable_hash((team, book, block)) } else { stable_hash((id, block)) }
        };
        (0..blocks).map(digest).collect()
    }
}

fn pick(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..shares.iter().sum::<f64>());
    for (place, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return place;
        }
    }
    shares.len() - 1
}
