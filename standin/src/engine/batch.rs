//! Continuous batching: running requests share the engine's token rate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::cache::Cache;
use super::text::{BLOCK_WORDS, GenerationRequest, block_hashes, count_words};

/// Load samples that are kept for the delayed load report.
const MAX_SAMPLES: usize = 512;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Tokens a second generated for all requests together.
    pub tokens_per_second: f64,
    /// Most tokens a second generated for one request.
    pub tokens_per_second_each: f64,
    /// Prompt tokens a second processed; cached tokens take no time.
    pub prefill_per_second: f64,
    /// Most requests that run at the same time.
    pub slots: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            tokens_per_second: 2_000.0,
            tokens_per_second_each: 400.0,
            prefill_per_second: 40_000.0,
            slots: 16,
            cache_blocks: 4_096,
        }
    }
}

/// Load that the engine reports.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct LoadSample {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) cache: f64,
}

/// One request in the engine.
#[derive(Debug)]
pub(super) struct Job {
    priority: i64,
    blocks: Vec<u64>,
    prefill_tokens: f64,
    next_token: usize,
    end_token: usize,
    token_credit: f64,
    tx: mpsc::UnboundedSender<usize>,
    generated: Arc<AtomicUsize>,
}

impl Job {
    pub(super) fn new(
        request: &GenerationRequest,
        tx: mpsc::UnboundedSender<usize>,
        generated: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            priority: request.priority,
            blocks: block_hashes(&request.prompt),
            prefill_tokens: (count_words(&request.prompt) + request.resume_from) as f64,
            next_token: request.resume_from,
            end_token: request.resume_from + request.max_tokens,
            token_credit: 0.0,
            tx,
            generated,
        }
    }

    fn is_finished(&self) -> bool {
        self.tx.is_closed() || self.next_token >= self.end_token
    }

    fn generate(&mut self, tokens: f64) {
        self.token_credit += tokens;
        while self.token_credit >= 1.0 && self.next_token < self.end_token {
            self.token_credit -= 1.0;
            if self.tx.send(self.next_token).is_err() {
                return;
            }
            self.next_token += 1;
            self.generated.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// All running and waiting requests of an engine.
#[derive(Debug)]
pub(super) struct Batch {
    pace: Pace,
    pub(super) cache: Cache,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    samples: VecDeque<(Instant, LoadSample)>,
    slowdown: f64,
}

impl Batch {
    pub(super) fn new(pace: Pace) -> Self {
        Self {
            pace,
            cache: Cache::new(pace.cache_blocks),
            running: Vec::new(),
            waiting: VecDeque::new(),
            samples: VecDeque::from([(Instant::now(), LoadSample::default())]),
            slowdown: 1.0,
        }
    }

    pub(super) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1.0);
    }

    pub(super) fn add(&mut self, job: Job) {
        let lower_priority = self.waiting.iter().position(|w| w.priority < job.priority);
        let index = lower_priority.unwrap_or(self.waiting.len());
        self.waiting.insert(index, job);
        self.admit();
        self.record_sample();
    }

    /// Drops all requests and clears the cache.
    pub(super) fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
        self.record_sample();
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Processes prompts and generates tokens for the time `passed`, and admits waiting requests.
    pub(super) fn advance(&mut self, passed: Duration) {
        self.running.retain(|job| !job.is_finished());
        self.waiting.retain(|job| !job.is_finished());
        self.admit();
        let mut remaining_s = passed.as_secs_f64() / self.slowdown;
        for job in &mut self.running {
            let prefill_s = (job.prefill_tokens / self.pace.prefill_per_second).min(remaining_s);
            job.prefill_tokens -= prefill_s * self.pace.prefill_per_second;
            remaining_s -= prefill_s;
        }
        let generating = self
            .running
            .iter()
            .filter(|j| j.prefill_tokens <= 0.5)
            .count();
        let share = self.pace.tokens_per_second / generating.max(1) as f64;
        let each = share.min(self.pace.tokens_per_second_each) * remaining_s;
        for job in self.running.iter_mut().filter(|j| j.prefill_tokens <= 0.5) {
            job.generate(each);
        }
        self.running.retain(|job| !job.is_finished());
        self.admit();
        self.record_sample();
    }

    /// Returns the load at the time `lag` ago.
    pub(super) fn load(&self, lag: Duration) -> LoadSample {
        let now = Instant::now();
        let mut visible = LoadSample::default();
        for (at, sample) in &self.samples {
            if now.duration_since(*at) < lag {
                break;
            }
            visible = *sample;
        }
        visible
    }

    fn admit(&mut self) {
        while self.running.len() < self.pace.slots {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let cached = self.cache.touch(&job.blocks) * BLOCK_WORDS;
            job.prefill_tokens = (job.prefill_tokens - cached as f64).max(0.0);
            self.running.push(job);
        }
    }

    fn record_sample(&mut self) {
        let sample = LoadSample {
            running: self.running.len(),
            waiting: self.waiting.len(),
            cache: self.cache.usage(),
        };
        if self.samples.back().is_some_and(|(_, last)| *last == sample) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), sample));
    }
}
