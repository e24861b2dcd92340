//! Plans of a workload's requests: arrival time, caller region and content.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Kind, MODEL, SERVICE_ROUTE, TOKENS_PER_CALL, Workload};
use crate::caller::{Payload, Request};

/// Offered load of an organisation as a share of its rate.
const OFFERED_SHARE: f64 = 0.7;
/// Number of distinct prompt prefixes that the requests of one organisation share.
const SHARED_PROMPTS: usize = 8;
const MENU_WORDS: usize = 300;
const INSTRUCTION_WORDS: usize = 64;
const BATCH_REQUESTS: usize = 8;
/// Share of model requests that are marked as not repeatable.
const NOT_REPEATABLE_SHARE: f64 = 0.03;
/// Share of requests with an idempotency key that are sent again from another region.
const REPEAT_SHARE: f64 = 0.2;
const REPEAT_DELAY: Duration = Duration::from_millis(50);
/// Relative amplitude of a region's load around its mean.
const PEAK_AMPLITUDE: f64 = 0.9;

/// One planned request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Intended send time, from the start of the run.
    pub intended_at: Duration,
    /// Index of the organisation.
    pub organisation: usize,
    /// Index of the caller's region.
    pub region: usize,
    /// Tokens that the organisation is charged for.
    pub tokens: u64,
    /// Whether the request must not run twice.
    pub non_repeatable: bool,
    /// Whether the request repeats another one with the same idempotency key.
    pub is_repeat: bool,
    /// The request.
    pub request: Request,
}

/// Pattern of the arrivals of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadPattern {
    /// All organisations send steadily.
    Steady,
    /// The first organisation sends at its rate times this factor.
    Greedy(f64),
    /// The load of each region peaks once during the run, one region after another.
    Peaks,
}

/// Plans all arrivals of a run; the same seed gives the same plan.
pub fn plan_arrivals(
    workload: &Workload,
    seed: u64,
    length: Duration,
    load_pattern: LoadPattern,
) -> Vec<Arrival> {
    let mut planner = Planner {
        workload,
        rng: StdRng::seed_from_u64(seed),
        serial: 0,
        length,
        load_pattern,
    };
    let mut arrivals = Vec::new();
    for organisation in 0..workload.organisations.len() {
        planner.plan_organisation(organisation, &mut arrivals);
    }
    arrivals.sort_by_key(|a| a.intended_at);
    arrivals
}

struct Planner<'a> {
    workload: &'a Workload,
    rng: StdRng,
    serial: u64,
    length: Duration,
    load_pattern: LoadPattern,
}

impl Planner<'_> {
    fn plan_organisation(&mut self, n: usize, arrivals: &mut Vec<Arrival>) {
        let mut offered = self.workload.organisations[n].rate * OFFERED_SHARE;
        if let LoadPattern::Greedy(factor) = self.load_pattern
            && n == 0
        {
            offered = self.workload.organisations[n].rate * factor;
        }
        let mean = self.mean_tokens();
        let mut at = 0.0;
        loop {
            // Exponential gaps make a Poisson process at the highest intensity, which is then
            // thinned to the intensity of the region.
            let gap = -(1.0 - self.rng.random::<f64>()).ln() * mean / offered;
            at += gap / self.max_intensity();
            if at >= self.length.as_secs_f64() {
                return;
            }
            let region = self.pick_region(n);
            let acceptance = self.intensity(region, at) / self.max_intensity();
            if self.rng.random::<f64>() < acceptance {
                self.add_event(n, region, at, arrivals);
            }
        }
    }

    fn pick_region(&mut self, n: usize) -> usize {
        let mut remaining = self.rng.random::<f64>();
        let shares = &self.workload.organisations[n].callers;
        for (region, share) in shares.iter().enumerate() {
            if remaining < *share {
                return region;
            }
            remaining -= share;
        }
        shares.len() - 1
    }

    fn max_intensity(&self) -> f64 {
        match self.load_pattern {
            LoadPattern::Peaks => 1.0 + PEAK_AMPLITUDE,
            LoadPattern::Steady | LoadPattern::Greedy(_) => 1.0,
        }
    }

    fn intensity(&self, region: usize, at: f64) -> f64 {
        if self.load_pattern != LoadPattern::Peaks {
            return 1.0;
        }
        let offset = region as f64 / self.workload.regions.len() as f64;
        let phase = at / self.length.as_secs_f64() - offset;
        1.0 + PEAK_AMPLITUDE * (TAU * phase).cos()
    }

    /// Returns the mean number of tokens that one arrival event is charged for.
    fn mean_tokens(&self) -> f64 {
        let call = TOKENS_PER_CALL as f64;
        match self.workload.kind {
            Kind::Bookings => 0.65 * 50.0 + 0.2 * (MENU_WORDS as f64 + 91.0) + 0.15 * call,
            Kind::Survey => {
                let batch = BATCH_REQUESTS as f64 * (INSTRUCTION_WORDS as f64 + 24.0);
                0.15 * batch + 0.45 * 210.0 + 0.4 * call
            }
        }
    }

    /// Adds the requests of one arrival event: a single request or a batch.
    fn add_event(&mut self, n: usize, region: usize, at: f64, arrivals: &mut Vec<Arrival>) {
        let choice = self.rng.random::<f64>();
        match self.workload.kind {
            Kind::Bookings if choice < 0.65 => {
                let prompt = self.prompt("chat", 29);
                self.add(n, region, at, chat(prompt, 20, true), arrivals);
            }
            Kind::Bookings if choice < 0.85 => {
                let stream = self.rng.random();
                let shared = self.shared_prompt(n, MENU_WORDS);
                let prompt = format!("{shared} {}", self.prompt("notes", 30));
                self.add(n, region, at, chat(prompt, 60, stream), arrivals);
            }
            Kind::Survey if choice < 0.15 => {
                let shared = self.shared_prompt(n, INSTRUCTION_WORDS);
                for _ in 0..BATCH_REQUESTS {
                    let prompt = format!("{shared} {}", self.prompt("firm", 15));
                    let payload = Payload::Completion { prompt, tokens: 8 };
                    self.add(n, region, at, payload, arrivals);
                }
            }
            Kind::Survey if choice < 0.6 => {
                let prompt = self.prompt("stratum", 149);
                self.add(n, region, at, chat(prompt, 60, true), arrivals);
            }
            Kind::Bookings | Kind::Survey => {
                self.serial += 1;
                let run_id = format!("run-{}", self.serial);
                self.add(n, region, at, Payload::Service { run_id }, arrivals);
            }
        }
    }

    /// Returns a unique prompt: a word with a serial number and `words` filler words.
    fn prompt(&mut self, topic: &str, words: usize) -> String {
        self.serial += 1;
        let mut text = format!("{topic}-{}", self.serial);
        for i in 0..words {
            text.push_str(&format!(" {topic}{i}"));
        }
        text
    }

    fn shared_prompt(&mut self, n: usize, words: usize) -> String {
        let prefix = self.rng.random_range(0..SHARED_PROMPTS);
        let mut text = format!("shared-{n}-{prefix}");
        for i in 1..words {
            text.push_str(&format!(" item{i}"));
        }
        text
    }

    fn add(
        &mut self,
        n: usize,
        region: usize,
        at: f64,
        payload: Payload,
        arrivals: &mut Vec<Arrival>,
    ) {
        let service = matches!(payload, Payload::Service { .. });
        let mut headers = Vec::new();
        let has_key = service && self.rng.random();
        if has_key {
            headers.push(("idempotency-key", format!("idem-{}", self.serial)));
        }
        let not_repeatable = !service && self.rng.random_bool(NOT_REPEATABLE_SHARE);
        if not_repeatable {
            headers.push(("limpetstand-repeatable", "no".to_owned()));
        }
        let arrival = Arrival {
            intended_at: Duration::from_secs_f64(at),
            organisation: n,
            region,
            tokens: tokens_of(&payload),
            non_repeatable: service || not_repeatable,
            is_repeat: false,
            request: Request {
                route: if service { SERVICE_ROUTE } else { MODEL }.to_owned(),
                key: Some(self.workload.organisations[n].key.clone()),
                headers,
                payload,
            },
        };
        if has_key && self.rng.random_bool(REPEAT_SHARE) {
            arrivals.push(Arrival {
                intended_at: arrival.intended_at + REPEAT_DELAY,
                region: (region + 1) % self.workload.regions.len(),
                is_repeat: true,
                ..arrival.clone()
            });
        }
        arrivals.push(arrival);
    }
}

fn chat(prompt: String, tokens: usize, stream: bool) -> Payload {
    Payload::Chat {
        prompt,
        tokens,
        stream,
    }
}

/// Returns the number of tokens that a request is charged for.
fn tokens_of(payload: &Payload) -> u64 {
    let (prompt, tokens) = match payload {
        Payload::Chat { prompt, tokens, .. } | Payload::Completion { prompt, tokens } => {
            (prompt, tokens)
        }
        Payload::Service { .. } => return TOKENS_PER_CALL,
    };
    (crate::engine::count_words(prompt) + tokens) as u64
}
