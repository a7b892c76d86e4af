//! A simulated engine: it runs up to its slots at once, queues the rest in order
//! of arrival, prefills one prompt after another and caches prompt prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rosemarypond_core::engine::BLOCK_TOKENS;
use rosemarypond_core::request::Request;

/// The speed and the capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    pub prefill_per_s: f64,
    pub token_ms: f64,
    pub slots: usize,
    pub cached_blocks: usize,
}

/// A dispatched request on an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: Request,
    pub node: usize,
    pub incarnation: u64,
    pub tokens: u32,
    pub uncached: u32,
    pub has_started: bool,
    pub has_sent_first: bool,
}

/// A job that was started, with the times until its first token and its end.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    pub job: u64,
    pub first_token_in: Duration,
    pub completed_in: Duration,
}

#[derive(Debug)]
pub struct Engine {
    pub speed: Speed,
    pub slowdown: f64,
    pub alive: bool,
    pub silent: bool,
    pub jobs: BTreeMap<u64, Job>,
    waiting: VecDeque<u64>,
    running: usize,
    prefill_free_at: Instant,
    cache: VecDeque<u64>,
    pub published: Vec<(bool, u64)>,
}

impl Engine {
    pub fn new(speed: Speed, now: Instant) -> Self {
        Self {
            speed,
            slowdown: 1.0,
            alive: true,
            silent: false,
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: 0,
            prefill_free_at: now,
            cache: VecDeque::new(),
            published: Vec::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// How many leading prompt tokens are cached.
    pub fn cached_tokens(&self, request: &Request) -> u32 {
        let hits = request.prefix.iter().take_while(|d| self.cache.contains(d)).count() as u32;
        (hits * BLOCK_TOKENS).min(request.prompt.0)
    }

    /// The exact time that a request would take if it started now.
    pub fn exact_time(&self, request: &Request, tokens: u32, now: Instant) -> Duration {
        let wait = self.prefill_free_at.saturating_duration_since(now);
        let uncached = request.prompt.0 - self.cached_tokens(request);
        wait + self.prefill_time(uncached) + self.decode_time(tokens)
    }

    fn prefill_time(&self, uncached: u32) -> Duration {
        let seconds = f64::from(uncached.max(1)) / self.speed.prefill_per_s;
        Duration::from_secs_f64(seconds * self.slowdown)
    }

    fn decode_time(&self, tokens: u32) -> Duration {
        let seconds = self.speed.token_ms / 1_000.0 * f64::from(tokens);
        Duration::from_secs_f64(seconds * self.slowdown)
    }

    pub fn token_gap(&self) -> Duration {
        self.decode_time(1)
    }

    /// Queues a job; it starts at once if a slot is free.
    pub fn admit(&mut self, number: u64, job: Job, now: Instant) -> Option<Started> {
        self.jobs.insert(number, job);
        self.waiting.push_back(number);
        self.start_next(now)
    }

    pub fn start_next(&mut self, now: Instant) -> Option<Started> {
        if self.running >= self.speed.slots {
            return None;
        }
        let number = self.waiting.pop_front()?;
        self.running += 1;
        let request = self.jobs[&number].request.clone();
        let uncached = request.prompt.0 - self.cached_tokens(&request);
        let prefill = self.prefill_time(uncached);
        let begin = self.prefill_free_at.max(now);
        self.prefill_free_at = begin + prefill;
        self.cache_prefix(&request.prefix);
        let job = self.jobs.get_mut(&number).expect("a waiting job exists");
        job.has_started = true;
        job.uncached = uncached;
        let tokens = job.tokens;
        let first_token_in = (begin + prefill).duration_since(now);
        Some(Started {
            job: number,
            first_token_in,
            completed_in: first_token_in + self.decode_time(tokens),
        })
    }

    /// Removes a job, complete or not, and returns it if it was there.
    pub fn remove(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        if job.has_started {
            self.running -= 1;
        } else {
            self.waiting.retain(|waiting| *waiting != number);
        }
        Some(job)
    }

    pub fn find_job(
        &self,
        node: usize,
        incarnation: u64,
        request: rosemarypond_core::id::Request,
    ) -> Option<u64> {
        let matches = |job: &Job| {
            job.node == node && job.incarnation == incarnation && job.request.id == request
        };
        self.jobs.iter().find(|(_, job)| matches(job)).map(|(number, _)| *number)
    }

    fn cache_prefix(&mut self, prefix: &[u64]) {
        let known: HashMap<u64, ()> = self.cache.iter().map(|d| (*d, ())).collect();
        for digest in prefix {
            if known.contains_key(digest) {
                self.cache.retain(|d| d != digest);
            } else {
                self.published.push((true, *digest));
            }
            self.cache.push_back(*digest);
        }
        while self.cache.len() > self.speed.cached_blocks {
            if let Some(evicted) = self.cache.pop_front() {
                self.published.push((false, evicted));
            }
        }
    }
}
