//! Compares the fair queue with a reference implementation.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetstand::fair::{FairQueue, QueuedRequest};
use limpetstand::id::OrganisationId;
use proptest::collection::vec;
use proptest::prelude::*;

const MAX_TOTAL: usize = 12;
const MAX_PER_ORGANISATION: usize = 6;
const DRAIN_TOKENS_PER_S: f64 = 10.0;

#[derive(Debug, Clone)]
enum Step {
    Push {
        organisation: u8,
        tokens: u64,
        priority: u8,
        time_left_s: u64,
    },
    Pop,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let push = (0u8..4, 1u64..50, 0u8..3, 1u64..60).prop_map(
        |(organisation, tokens, priority, time_left_s)| Step::Push {
            organisation,
            tokens,
            priority,
            time_left_s,
        },
    );
    prop_oneof![3 => push, 2 => Just(Step::Pop), 1 => (0u64..20).prop_map(Step::Wait)]
}

fn weight(organisation: u8) -> f64 {
    f64::from(1u8 << organisation)
}

fn request(step: (u8, u64, u8), deadline: Duration, item: usize) -> QueuedRequest<usize> {
    QueuedRequest {
        organisation: Some(organisation_id(step.0)),
        weight: weight(step.0),
        tokens: step.1,
        priority: step.2,
        deadline,
        item,
    }
}

fn organisation_id(organisation: u8) -> OrganisationId {
    OrganisationId::from(format!("o{organisation}"))
}

/// Reference queue: keeps a plain list and simulates the whole schedule.
#[derive(Clone, Default)]
struct ReferenceQueue {
    queued: Vec<(u8, u64, u8, Duration, usize)>,
    starts: BTreeMap<u8, f64>,
    virtual_time: f64,
}

impl ReferenceQueue {
    fn drop_expired(&mut self, now: Duration) {
        self.queued.retain(|w| w.3 > now);
    }

    fn pop(&mut self) -> Option<(usize, u64)> {
        let has_queued = |o: &u8| self.queued.iter().any(|w| w.0 == *o);
        let (organisation, start) = self
            .starts
            .iter()
            .filter(|(o, _)| has_queued(o))
            .map(|(o, s)| (*o, *s))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)))?;
        let of_organisation = self
            .queued
            .iter()
            .enumerate()
            .filter(|(_, w)| w.0 == organisation);
        let (i, _) = of_organisation.min_by_key(|(_, w)| (std::cmp::Reverse(w.2), w.4))?;
        let chosen = self.queued.remove(i);
        self.virtual_time = start;
        self.starts
            .insert(organisation, start + chosen.1 as f64 / weight(organisation));
        Some((chosen.4, chosen.1))
    }

    fn add(&mut self, entry: (u8, u64, u8, Duration, usize)) {
        if self.queued.is_empty() {
            self.starts.clear();
        }
        let has_queued = self.queued.iter().any(|w| w.0 == entry.0);
        let start = self.starts.entry(entry.0).or_insert(self.virtual_time);
        if !has_queued {
            *start = start.max(self.virtual_time);
        }
        self.queued.push(entry);
    }

    /// Returns the tokens that would be served before the entry if no other request arrived.
    fn tokens_before(&self, entry: (u8, u64, u8, Duration, usize)) -> u64 {
        let mut simulation = self.clone();
        simulation.add(entry);
        let mut tokens_before = 0;
        while let Some((item, tokens)) = simulation.pop() {
            if item == entry.4 {
                break;
            }
            tokens_before += tokens;
        }
        tokens_before
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn pops_in_the_order_of_the_reference_queue(steps in vec(step(), 1..80)) {
        let mut queue = FairQueue::bounded(usize::MAX, usize::MAX);
        let mut reference = ReferenceQueue::default();
        let mut now = Duration::ZERO;
        for (i, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { organisation, tokens, priority, time_left_s } => {
                    let deadline = now + Duration::from_secs(time_left_s);
                    queue.push(now, request((organisation, tokens, priority), deadline, i)).expect("present");
                    reference.drop_expired(now);
                    reference.add((organisation, tokens, priority, deadline, i));
                }
                Step::Pop => {
                    reference.drop_expired(now);
                    prop_assert_eq!(queue.pop(now), reference.pop().map(|(item, _)| item));
                }
                Step::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            reference.drop_expired(now);
            queue.expire(now);
            prop_assert_eq!(queue.len(), reference.queued.len());
            prop_assert_eq!(queue.tokens(), reference.queued.iter().map(|w| w.1).sum::<u64>());
        }
    }

    #[test]
    fn rejects_requests_that_would_wait_past_their_deadline(steps in vec(step(), 1..80)) {
        let mut queue = FairQueue::bounded(usize::MAX, usize::MAX);
        queue.set_drain_rate(DRAIN_TOKENS_PER_S);
        let mut reference = ReferenceQueue::default();
        let now = Duration::ZERO;
        for (i, step) in steps.into_iter().enumerate() {
            let Step::Push { organisation, tokens, priority, time_left_s } = step else {
                continue;
            };
            let deadline = now + Duration::from_secs(time_left_s);
            let entry = (organisation, tokens, priority, deadline, i);
            let expected_wait_s = reference.tokens_before(entry) as f64 / DRAIN_TOKENS_PER_S;
            let taken = queue.push(now, request((organisation, tokens, priority), deadline, i));
            // The estimate divides single tokens and the schedule whole requests, so they differ by
            // at most one request of each other organisation.
            let slack = 3.0 * 50.0 / DRAIN_TOKENS_PER_S;
            match taken {
                Ok(_) => prop_assert!(expected_wait_s <= time_left_s as f64 + slack),
                Err(rejected) => {
                    prop_assert!(expected_wait_s > time_left_s as f64 - slack);
                    prop_assert!(rejected.retry_after.as_secs_f64() <= expected_wait_s + slack);
                    continue;
                }
            }
            reference.add(entry);
        }
    }

    #[test]
    fn bounds_hold_and_no_request_is_lost(steps in vec(step(), 1..120)) {
        let mut queue = FairQueue::bounded(MAX_TOTAL, MAX_PER_ORGANISATION);
        let mut now = Duration::ZERO;
        let mut queued = BTreeMap::new();
        for (i, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { organisation, tokens, priority, time_left_s } => {
                    let deadline = now + Duration::from_secs(time_left_s);
                    let own = queued.values().filter(|o| **o == organisation).count();
                    let len = queued.len();
                    match queue.push(now, request((organisation, tokens, priority), deadline, i)) {
                        Ok(pushed) => {
                            queued.insert(i, organisation);
                            prop_assert_eq!(pushed.displaced.is_some(), len >= MAX_TOTAL);
                            if let Some(item) = pushed.displaced {
                                let displaced_from = queued.remove(&item);
                                let others = queued.values().filter(|o| Some(**o) == displaced_from).count();
                                prop_assert!(others + 1 > own + 1);
                            }
                        }
                        Err(_) => prop_assert!(own >= MAX_PER_ORGANISATION || len >= MAX_TOTAL),
                    }
                }
                Step::Pop => {
                    if let Some(item) = queue.pop(now) {
                        prop_assert!(queued.remove(&item).is_some());
                    }
                }
                Step::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            for item in queue.expire(now) {
                prop_assert!(queued.remove(&item).is_some());
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= MAX_TOTAL);
        }
    }
}

#[test]
fn a_busy_organisation_gets_its_weighted_share_and_no_more() {
    let mut queue = FairQueue::bounded(10_000, 5_000);
    let now = Duration::ZERO;
    let deadline = Duration::from_secs(1);
    for i in 0..2_000 {
        // Organisation 0 sends larger requests; the weights are 1 and 2.
        queue
            .push(now, request((0, 50, 0), deadline, i))
            .expect("present");
        queue
            .push(now, request((1, 10, 0), deadline, 10_000 + i))
            .expect("present");
    }
    let mut served = [0u64; 2];
    for _ in 0..1_000 {
        let item = queue.pop(now).expect("present");
        let large = item < 10_000;
        served[usize::from(!large)] += if large { 50 } else { 10 };
    }
    let ratio = served[1] as f64 / served[0] as f64;
    assert!((1.9..2.1).contains(&ratio), "served {served:?}");
}

#[test]
fn a_removed_request_makes_room_for_another() {
    let mut queue = FairQueue::bounded(2, 1);
    let now = Duration::ZERO;
    let deadline = Duration::from_secs(1);
    let first = queue
        .push(now, request((0, 5, 0), deadline, 1))
        .expect("present");
    assert!(queue.push(now, request((0, 5, 0), deadline, 2)).is_err());
    assert_eq!(queue.remove(first.handle), Some(1));
    assert_eq!(queue.remove(first.handle), None);
    assert!(queue.push(now, request((0, 5, 0), deadline, 3)).is_ok());
    assert_eq!(queue.pop(deadline), None);
    assert_eq!(queue.expire(deadline), vec![3]);
}
