//! How many targets of a region a request is tried at that does not reach some of them.

use std::time::Duration;

use limpetstand::gateway::ejection::OwnEjections;
use limpetstand::gateway::target_tries::TargetTries;
use limpetstand::id::TargetId;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

const SIZES: [usize; 5] = [1, 3, 9, 62, 300];

/// Time that each request has.
const TIME: Duration = Duration::from_secs(3);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A region whose targets refuse connections, except `sound`.
struct Region {
    targets: Vec<TargetId>,
    sound: Option<usize>,
    ejections: OwnEjections,
    rng: StdRng,
}

impl Region {
    fn new(size: usize, sound: Option<usize>) -> Self {
        Self {
            targets: (0..size).map(|n| format!("t{n}").as_str().into()).collect(),
            sound,
            ejections: OwnEjections::default(),
            rng: StdRng::seed_from_u64(size as u64),
        }
    }

    /// Chooses as the pool does: an ejected target only if there is no other.
    fn choose(&mut self, now: Duration, tried: &[TargetId]) -> Option<(TargetId, bool)> {
        let ejected = self.ejections.ejected(now);
        let left = || self.targets.iter().filter(|id| !tried.contains(id));
        let best = left().filter(|id| !ejected.contains(id));
        if let Some(id) = best.choose(&mut self.rng) {
            return Some((id.clone(), false));
        }
        let id = left().choose(&mut self.rng)?;
        Some((id.clone(), true))
    }

    /// Sends a request; returns whether it is served and how many targets it did not reach.
    fn send(&mut self, now: Duration) -> (bool, usize) {
        let sound = self.sound.map(|n| self.targets[n].clone());
        let mut tries = TargetTries::new(now, TIME);
        let mut tried = Vec::new();
        while let Some((id, is_ejected)) = self.choose(now, &tried) {
            if !tries.may_try(now, is_ejected) {
                break;
            }
            if Some(&id) == sound.as_ref() {
                return (true, tried.len());
            }
            self.ejections.record_failure(now, &id);
            tries.record_not_reached();
            tried.push(id);
        }
        (false, tried.len())
    }
}

#[test]
fn each_request_finds_the_one_sound_target() {
    for size in SIZES {
        let mut region = Region::new(size, Some(size / 2));
        for n in 0..400 {
            let (is_served, unreached) = region.send(ms(10 * n));
            assert!(is_served, "{size} targets, request {n}: {unreached} tried");
        }
    }
}

#[test]
fn a_request_tries_few_targets_that_others_did_not_reach() {
    for size in SIZES {
        let mut region = Region::new(size, None);
        let (is_served, unreached) = region.send(ms(0));
        assert_eq!((is_served, unreached), (false, size));
        let (is_served, unreached) = region.send(ms(1));
        assert!(!is_served);
        assert_eq!(unreached, size.min(2), "{size} targets");
    }
}

#[test]
fn a_request_leaves_time_for_another_region() {
    let mut tries = TargetTries::new(ms(0), TIME);
    assert!(tries.may_try(ms(2_000), true), "the first try has no bound");
    tries.record_not_reached();
    assert!(tries.may_try(ms(1_499), false));
    assert!(!tries.may_try(ms(1_500), false));
}
