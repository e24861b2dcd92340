//! Tests of the limits that targets name in their answers.

use std::time::Duration;

use limpetstand::gateway::scheduler::{TAKEOVER_TIME, scheduler_of, schedulers};
use limpetstand::gateway::target_limits::{MAX_SEND_DELAY, ProcessKey, TargetLimit, TargetLimits};
use limpetstand::id::TargetId;
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn process(started_unix_ms: u64) -> ProcessKey {
    ("t".into(), started_unix_ms)
}

#[test]
fn a_limit_lasts_until_an_answer_to_a_later_request_names_none() {
    let mut limits = TargetLimits::default();
    let t = process(1);
    assert_eq!(limits.record_answer(ms(0), &t, None, ms(0)), None);
    let named = limits.record_answer(ms(100), &t, Some(2.0), ms(50));
    assert_eq!(named.and_then(|l| l.per_s), Some(2.0));
    // Nothing changes.
    assert_eq!(limits.record_answer(ms(200), &t, Some(2.0), ms(150)), None);
    // These answers may be older than the one before.
    assert_eq!(limits.record_answer(ms(300), &t, None, ms(0)), None);
    assert_eq!(limits.record_answer(ms(5_000), &t, None, ms(1_100)), None);
    assert_eq!(limits.per_s(&t), Some(2.0));
    let changed = limits.record_answer(ms(6_000), &t, Some(0.5), ms(5_900));
    assert_eq!(changed.and_then(|l| l.per_s), Some(0.5));
    let lifted = limits.record_answer(ms(8_000), &t, None, ms(7_500));
    assert_eq!(
        lifted,
        Some(TargetLimit {
            per_s: None,
            said_at: ms(8_000)
        })
    );
    assert_eq!(limits.per_s(&t), None);
    assert_eq!(
        limits.record_answer(ms(9_000), &t, None, ms(8_900)),
        None,
        "it is lifted already"
    );
}

#[test]
fn a_limit_concerns_the_process_that_named_it() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(2), Some(1.0), ms(0));
    assert_eq!(limits.per_s(&process(1)), None);
    assert_eq!(limits.per_s(&process(3)), None);
    // A late answer of a former process.
    limits.record_answer(ms(2_000), &process(1), None, ms(1_900));
    assert_eq!(limits.per_s(&process(2)), Some(1.0));
}

#[test]
fn older_news_changes_nothing() {
    let mut limits = TargetLimits::default();
    let t = process(1);
    let said = |per_s, at| TargetLimit {
        per_s,
        said_at: ms(at),
    };
    assert!(limits.hear(&t, said(Some(1.0), 1_000)));
    assert!(!limits.hear(&t, said(Some(3.0), 900)));
    assert!(!limits.hear(&t, said(None, 900)));
    assert!(!limits.hear(&t, said(Some(1.0), 2_000)));
    assert!(limits.hear(&t, said(None, 3_000)));
    assert!(!limits.hear(&t, said(Some(1.0), 2_500)));
    assert_eq!(limits.per_s(&t), None);
    assert!(!TargetLimits::default().hear(&t, said(None, 1_000)));
}

#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(1), Some(0.0), ms(0));
    assert_eq!(limits.per_s(&process(1)), Some(0.25));
}

#[test]
fn limits_are_kept_as_long_as_their_process_is_listed() {
    let mut limits = TargetLimits::default();
    limits.record_answer(ms(0), &process(1), Some(1.0), ms(0));
    limits.expire(ms(900_000), |_| true);
    assert_eq!(limits.per_s(&process(1)), Some(1.0));
    limits.expire(ms(900_000), |_| false);
    assert_eq!(limits.per_s(&process(1)), None);
}

/// Time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns how many requests a target that takes `per_s` may get within the window.
fn bound(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + 5.0
}

/// Returns the most times within any window.
fn most_within(times: &mut [Duration]) -> usize {
    times.sort_unstable();
    let within = |from: &Duration| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

proptest! {
    /// Requests come at any times, and the rate changes now and then.
    #[test]
    fn the_times_given_keep_to_the_rate(
        rates in prop::collection::vec(0_u64..40, 1..4),
        pauses in prop::collection::vec(0_u64..120, 400),
    ) {
        let mut limits = TargetLimits::default();
        let t = process(1);
        let mut now = ms(1_000);
        for tenths in rates {
            // A time that was given at the rate before may be up to the longest delay ahead.
            let counted_from = now + MAX_SEND_DELAY;
            let per_s = tenths as f64 / 10.0;
            limits.record_answer(now, &t, Some(per_s), now);
            let mut sent = Vec::new();
            for pause in &pauses {
                now += ms(*pause);
                if limits.delay(now, &t) > MAX_SEND_DELAY {
                    continue;
                }
                let at = now + limits.take(now, &t);
                if at >= counted_from {
                    sent.push(at);
                }
            }
            let count = sent.len();
            prop_assert!(most_within(&mut sent) as f64 <= bound(per_s));
            let played = now.saturating_sub(counted_from).as_secs_f64();
            prop_assert!(count as f64 >= 0.9 * per_s * (played - 1.0), "{count} in {played} s");
        }
    }
}

/// The instances of a region, each with what it knows of the only target.
struct Region {
    ids: Vec<String>,
    live: Vec<bool>,
    limits: Vec<TargetLimits>,
    owned_since: Vec<Option<Duration>>,
}

impl Region {
    fn new(count: usize) -> Self {
        let mut region = Self {
            ids: (0..count).map(|n| format!("i{n}")).collect(),
            live: vec![true; count],
            limits: vec![TargetLimits::default(); count],
            owned_since: vec![None; count],
        };
        region.update(Duration::ZERO);
        region
    }

    /// Returns the scheduler of the target.
    fn scheduler(&self) -> usize {
        let all = self.ids.iter().zip(&self.live);
        let live: Vec<&str> = all
            .filter(|(_, live)| **live)
            .map(|(id, _)| id.as_str())
            .collect();
        let target: TargetId = process(1).0;
        let ranked = schedulers("r", &live);
        let id = scheduler_of(&target, &ranked).expect("a scheduler");
        self.ids.iter().position(|i| i == id).expect("known")
    }

    fn update(&mut self, now: Duration) {
        let scheduler = self.scheduler();
        for (n, owned_since) in self.owned_since.iter_mut().enumerate() {
            *owned_since = (n == scheduler).then(|| owned_since.unwrap_or(now));
        }
    }

    /// Sends a request from an instance if its scheduler lets it; returns when it is sent.
    fn send(&mut self, now: Duration, from: usize) -> Option<Duration> {
        let scheduler = self.scheduler();
        let t = process(1);
        let limits = &mut self.limits[scheduler];
        if limits.per_s(&t).is_none() && self.limits[from].per_s(&t).is_none() {
            return Some(now);
        }
        if let Some(said) = self.limits[from].get(&t) {
            self.limits[scheduler].hear(&t, said);
        }
        let limits = &mut self.limits[scheduler];
        let owned_since = self.owned_since[scheduler].unwrap_or(now);
        let takeover = (owned_since + TAKEOVER_TIME).saturating_sub(now);
        let delay = limits.delay(now, &t).max(takeover);
        if delay > MAX_SEND_DELAY {
            return None;
        }
        limits.take(now, &t);
        Some(now + delay)
    }
}

#[test]
fn a_region_of_any_size_keeps_to_a_limit_when_its_scheduler_is_lost() {
    for (count, per_s) in [
        (1, 1.0),
        (3, 1.0),
        (9, 0.0),
        (100, 2.0),
        (300, 1.0),
        (300, 20.0),
    ] {
        let mut region = Region::new(count);
        let t = process(1);
        let mut sent = Vec::new();
        let mut answers: Vec<(Duration, usize)> = Vec::new();
        for step in 0..3_000_u64 {
            let now = ms(step * 10);
            // The scheduler ends twice and comes back, knowing nothing.
            if count > 1 && (step == 1_000 || step == 2_000) {
                let scheduler = region.scheduler();
                region.live[scheduler] = false;
                region.limits[scheduler] = TargetLimits::default();
                region.update(now);
            }
            if step == 1_500 || step == 2_500 {
                region.live.fill(true);
                region.update(now);
            }
            // The answer to each request names the limit to the instance that sent it.
            answers.retain(|(at, from)| {
                if *at <= now {
                    region.limits[*from].record_answer(now, &t, Some(per_s), *at);
                }
                *at > now
            });
            let from = usize::try_from(step * 7).expect("small") % count;
            if !region.live[from] {
                continue;
            }
            if let Some(at) = region.send(now, from) {
                sent.push(at);
                answers.push((at + ms(50), from));
            }
        }
        let counted_from = ms(6_000);
        sent.retain(|at| *at >= counted_from);
        let most = most_within(&mut sent);
        println!(
            "{count} instances, {per_s} a second: {most} in 4 s, {} in 24 s",
            sent.len()
        );
        assert!(most as f64 <= bound(per_s), "{count} instances: {most}");
        assert!(
            sent.len() as f64 >= 0.7 * per_s * 24.0,
            "{count} instances: {}",
            sent.len()
        );
    }
}
