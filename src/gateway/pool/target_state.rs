//! What an instance knows about one target, and how long the target is expected to keep another
//! request waiting.

use std::collections::HashMap;
use std::time::Duration;

use super::shared_parts;
use crate::gateway::dialect::PromptPart;
use crate::gateway::ejection::Ejection;
use crate::gateway::warmup::RecentSends;

/// Delay that each request queued at a target adds to the next request, in milliseconds.
const QUEUE_DELAY_MS: f64 = 30.0;

/// Delay until the next slot of a target whose slots are all in use becomes free, in milliseconds.
const FULL_DELAY_MS: f64 = 150.0;

/// Age up to which a target's load report is used.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(600);

/// Time for which a prompt part sent to a target counts as held in the target's prefix cache.
const CACHED_PART_MAX_AGE: Duration = Duration::from_secs(10);

/// Time constant of the moving average of the prefill rate.
const PREFILL_RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Smallest fraction of a target's time that is assumed to go to this instance's requests.
const MIN_DRAIN_FRACTION: f64 = 0.2;

/// Number of prompt parts recorded for a target from which expired parts are removed.
const MAX_CACHED_PARTS: usize = 2_048;

/// Weight of what is known of a target's reading rate when another prompt has been read.
const READING_MEMORY: f64 = 0.95;

/// Tokens read at the rate of the settings with which a target's reading rate begins.
const GUESSED_TOKENS: f64 = 20_000.0;

/// Largest factor between a target's reading rate and that of the settings.
const MAX_READING_FACTOR: f64 = 4.0;

/// Weight of the newest hold in the moving average.
const HOLD_WEIGHT: f64 = 0.05;

/// Part of the delay of the streams at a full target that counts as delay of the request whose
/// prompt stalls them.
const STALL_WEIGHT: f64 = 0.5;

/// Time for which a scheduler sends nothing to a brittle target whose load it cannot learn otherwise.
const UNKNOWN_LOAD_TIME: Duration = Duration::from_secs(5);

/// One in this many slots of a brittle target is left free, at least one, as a request that its
/// caller has given up may still hold its slot.
const SPARE_SLOTS_PART: u32 = 8;

/// How fast the engines of targets prefill prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prefill {
    /// Time for one prompt token, in milliseconds. It includes the token generation that stalls
    /// meanwhile.
    pub ms_per_token: f64,
}

/// What this instance knows about one target, mostly from its own requests.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetState {
    pub(super) started_unix_ms: u64,
    pub(super) in_flight: u32,
    /// Tokens still to be prefilled for requests whose answers have not begun.
    pub(super) pending_prefill_tokens: u64,
    /// Prefill work of the target that was outstanding at `backlog_updated_at`.
    pub(super) backlog_ms: f64,
    pub(super) backlog_updated_at: Duration,
    /// Prompt tokens per second that this instance sends to the target for prefill.
    pub(super) prefill_tokens_per_s: f64,
    /// Fraction of the target's time that other instances leave for this instance's backlog.
    pub(super) drain_fraction: f64,
    /// The target's last load report: its time, the running requests and the waiting requests.
    pub(super) load_report: Option<(Duration, u32, u32)>,
    /// Requests at the target, by its last load report, that this instance has not counted.
    pub(super) foreign: u32,
    pub(super) ejection: Ejection,
    pub(super) failure_rate: f64,
    pub(super) recent_sends: RecentSends,
    /// Until when the target counts as cold by what it has said itself.
    pub(super) cold_until: Duration,
    pub(super) reading: ReadingRate,
    /// The average time for which a request holds a slot, in milliseconds; `None` before the first
    /// one ends.
    pub(super) hold_ms: Option<f64>,
    /// The time at which each prompt part was last sent to the target.
    pub(super) cached_parts: HashMap<u64, Duration>,
}

/// How fast a target reads prompts, from when it has read those that waited for each other.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReadingRate {
    /// When the target last finished a prompt.
    last_read_at: Duration,
    /// Decaying sums of the time and of the tokens read in it.
    ms: f64,
    tokens: f64,
}

impl ReadingRate {
    fn record(&mut self, now: Duration, tokens: u64, sent_at: Duration) {
        // Between two prompts that did not wait for each other, the target had nothing to read.
        if sent_at <= self.last_read_at {
            let taken = now.saturating_sub(self.last_read_at);
            self.ms = self.ms * READING_MEMORY + taken.as_secs_f64() * 1_000.0;
            self.tokens = self.tokens * READING_MEMORY + to_f64(tokens);
        }
        self.last_read_at = now;
    }

    /// Returns the time for one token, in milliseconds; `guess` counts as much as
    /// [`GUESSED_TOKENS`] that were read.
    fn ms_per_token(&self, guess: f64) -> f64 {
        let measured = (self.ms + GUESSED_TOKENS * guess) / (self.tokens + GUESSED_TOKENS);
        measured.clamp(guess / MAX_READING_FACTOR, guess * MAX_READING_FACTOR)
    }
}

impl Prefill {
    /// Returns the time that a target is expected to need for the prefill of prompt tokens.
    pub fn time(self, tokens: u64) -> Duration {
        Duration::try_from_secs_f64(self.ms(tokens) / 1_000.0).unwrap_or_default()
    }

    pub(super) fn ms(self, tokens: u64) -> f64 {
        to_f64(tokens) * self.ms_per_token
    }
}

impl TargetState {
    /// Returns the target's outstanding prefill work, in milliseconds.
    pub(super) fn backlog_ms_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.backlog_updated_at);
        (self.backlog_ms - passed.as_secs_f64() * 1_000.0 * self.drain_fraction).max(0.0)
    }

    /// Adds tokens to the backlog. Each other instance is assumed to take as much of the target's
    /// time as this instance has taken recently.
    pub(super) fn add_backlog(
        &mut self,
        now: Duration,
        tokens: u64,
        instances: usize,
        prefill: Prefill,
    ) {
        let backlog_ms = self.backlog_ms_at(now) + self.read_ms(prefill, tokens);
        let passed = now.saturating_sub(self.backlog_updated_at).as_secs_f64();
        self.prefill_tokens_per_s *= (-passed / PREFILL_RATE_TIME_CONSTANT.as_secs_f64()).exp();
        let other_instances = to_f64(instances.saturating_sub(1) as u64);
        let taken_by_others =
            other_instances * self.prefill_tokens_per_s * self.read_ms(prefill, 1) / 1_000.0;
        self.drain_fraction = (1.0 - taken_by_others).max(MIN_DRAIN_FRACTION);
        self.prefill_tokens_per_s += to_f64(tokens) / PREFILL_RATE_TIME_CONSTANT.as_secs_f64();
        self.backlog_ms = backlog_ms;
        self.backlog_updated_at = now;
    }

    /// Returns the expected wait before the target starts on another request, in milliseconds.
    ///
    /// The request may use `usable_slots` of the target's slots.
    pub(super) fn expected_wait_ms(
        &self,
        now: Duration,
        slots: u32,
        usable_slots: u32,
        prefill: Prefill,
    ) -> f64 {
        let (running, waiting) = match self.load_report {
            Some((at, running, waiting)) if at + LOAD_REPORT_MAX_AGE > now => (running, waiting),
            _ => (0, 0),
        };
        let busy = running.max(self.in_flight);
        let ahead_of_a_slot = busy.saturating_add(1).saturating_sub(usable_slots);
        let full_ms = f64::from(ahead_of_a_slot) * self.slot_delay_ms(slots);
        let backlog_ms = self
            .read_ms(prefill, self.pending_prefill_tokens)
            .max(self.backlog_ms_at(now));
        let slot_utilisation = f64::from(busy) / f64::from(slots.max(1));
        full_ms
            + backlog_ms
            + f64::from(waiting) * QUEUE_DELAY_MS
            + slot_utilisation * QUEUE_DELAY_MS
    }

    /// Returns the time that the target needs to read prompt tokens, in milliseconds.
    pub(super) fn read_ms(&self, prefill: Prefill, tokens: u64) -> f64 {
        to_f64(tokens) * self.reading.ms_per_token(prefill.ms_per_token)
    }

    /// Records that the target has read a prompt that was sent at `sent_at`.
    pub(super) fn record_read(&mut self, now: Duration, tokens: u64, sent_at: Duration) {
        self.reading.record(now, tokens, sent_at);
    }

    /// Records how long a request has held a slot.
    pub(super) fn record_hold(&mut self, hold: Duration) {
        let hold_ms = hold.as_secs_f64() * 1_000.0;
        let average = self.hold_ms.get_or_insert(hold_ms);
        *average += (hold_ms - *average) * HOLD_WEIGHT;
    }

    /// Returns the delay until the next slot of a full target becomes free, in milliseconds.
    fn slot_delay_ms(&self, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        self.hold_ms
            .map_or(FULL_DELAY_MS, |hold_ms| hold_ms / slots)
    }

    /// Returns for how many milliseconds of delay a millisecond of reading counts, since the target's
    /// streams stand still meanwhile. While there are free slots, a delayed stream delays nobody
    /// else.
    pub(super) fn stalled_streams(&self, slots: u32) -> f64 {
        let in_flight = f64::from(self.in_flight);
        let utilisation = (in_flight / f64::from(slots.max(1))).min(1.0);
        in_flight * utilisation * STALL_WEIGHT
    }

    /// Tells whether a slot of the target is known to be free to this instance, which has been its
    /// scheduler since `owned_since`.
    pub(super) fn has_known_room(
        &self,
        now: Duration,
        slots: u32,
        owned_since: Option<Duration>,
    ) -> bool {
        let since = owned_since.unwrap_or_default();
        let spare = (slots / SPARE_SLOTS_PART)
            .max(1)
            .min(slots.saturating_sub(1));
        let sure_slots = slots - spare;
        if self.knows_load(now, since) {
            return self.in_flight.saturating_add(self.foreign) < sure_slots;
        }
        // If the target does not tell its load when it is asked, one request finds it out.
        let reported_at = self.load_report.map_or(since, |(at, ..)| at.max(since));
        self.in_flight == 0 && now >= reported_at + UNKNOWN_LOAD_TIME
    }

    /// Tells whether a scheduler since `since` knows how many requests the target has: the target has
    /// told it since then that it has no others, or lately how many others it has.
    pub(super) fn knows_load(&self, now: Duration, since: Duration) -> bool {
        let Some((at, ..)) = self.load_report.filter(|(at, ..)| *at >= since) else {
            return false;
        };
        self.foreign == 0 || at + LOAD_REPORT_MAX_AGE > now
    }

    /// Returns the tokens of the request's own part, and those of the shared parts that the target
    /// does not hold.
    pub(super) fn tokens_to_read(
        &self,
        now: Duration,
        prompt: &[PromptPart],
        is_preferred: bool,
    ) -> (u64, u64) {
        let own_tokens = prompt.last().map_or(0, |part| u64::from(part.tokens));
        if is_preferred {
            return (own_tokens, 0);
        }
        (own_tokens, self.uncached_tokens(now, prompt))
    }

    /// Returns the tokens of the shared parts that the target does not hold.
    fn uncached_tokens(&self, now: Duration, prompt: &[PromptPart]) -> u64 {
        let mut uncached_tokens = 0;
        // So many requests share the first part that every target holds it.
        for part in shared_parts(prompt).iter().skip(1) {
            if !self.has_cached(now, part.id) {
                uncached_tokens += u64::from(part.tokens);
            }
        }
        uncached_tokens
    }

    /// Returns the tokens of the request's own part, and those of shared parts that the target does
    /// not hold.
    pub(super) fn prefill_tokens(&self, now: Duration, prompt: &[PromptPart]) -> (u64, u64) {
        let own_tokens = prompt.last().map_or(0, |part| u64::from(part.tokens));
        let mut uncached_tokens = 0;
        for part in shared_parts(prompt) {
            if !self.has_cached(now, part.id) {
                uncached_tokens += u64::from(part.tokens);
            }
        }
        (own_tokens, uncached_tokens)
    }

    /// Records that the shared parts of a prompt are sent to the target.
    pub(super) fn record_cached(&mut self, now: Duration, prompt: &[PromptPart]) {
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts
                .retain(|_, at| *at + CACHED_PART_MAX_AGE > now);
        }
        for part in shared_parts(prompt) {
            self.cached_parts.insert(part.id, now);
        }
    }

    /// Tells whether the target's prefix cache is assumed to hold a part.
    pub(super) fn has_cached(&self, now: Duration, part: u64) -> bool {
        self.cached_parts
            .get(&part)
            .is_some_and(|at| *at + CACHED_PART_MAX_AGE > now)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub(super) fn to_f64(n: u64) -> f64 {
    n as f64
}
