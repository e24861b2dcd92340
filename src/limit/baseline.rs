//! Simple limiters that serve as baselines in measurements.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;

use super::amount::{Amount, Part, RefillRate};
use super::bucket::Bucket;
use super::{Hold, Limiter, LimiterDeps, LimiterPlugin, Settle, Started};
use crate::id::OrganisationId;
use crate::refusal::{Code, Refusal};

inventory::submit! {
    LimiterPlugin { name: "static-split", start: start_static_split }
}

inventory::submit! {
    LimiterPlugin { name: "local-whole", start: start_local_whole }
}

/// Starts a limiter that enforces an equal part of every rate and burst at each instance.
fn start_static_split(deps: LimiterDeps) -> Started {
    start(deps, Part::one_of)
}

/// Starts a limiter that enforces the whole rate and burst at each instance.
fn start_local_whole(deps: LimiterDeps) -> Started {
    start(deps, |_| Part::WHOLE)
}

fn start(deps: LimiterDeps, part_of: fn(usize) -> Part) -> Started {
    let buckets = Arc::new(Buckets {
        deps,
        part_of,
        buckets: Mutex::default(),
    });
    Started {
        limiter: Arc::new(Baseline(buckets)),
        handler: None,
    }
}

struct Baseline(Arc<Buckets>);

struct Buckets {
    deps: LimiterDeps,
    part_of: fn(usize) -> Part,
    buckets: Mutex<HashMap<OrganisationId, Bucket>>,
}

impl Buckets {
    fn charge(&self, organisation: &OrganisationId, tokens: u64) -> Result<(), Refusal> {
        let (rate, burst) = rate_and_burst(&self.deps, organisation)?;
        if tokens > burst {
            return Err(larger_than_burst(tokens, burst));
        }
        let part = (self.part_of)(self.deps.fleet.borrow().members.len());
        let now = self.deps.clock.now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets
            .entry(organisation.clone())
            .or_insert_with(|| full_bucket(now, part.of_burst(burst)));
        bucket.advance(now);
        bucket.resize(part.of_burst(burst), part.of_rate(rate));
        let tokens = Amount::tokens(tokens);
        if bucket.hold(tokens) {
            return Ok(());
        }
        let wait = bucket.rate().time_for(tokens - bucket.level());
        Err(rate_exceeded(wait))
    }
}

impl Settle for Buckets {
    fn release(&self, organisation: &OrganisationId, held: u64, used: u64) {
        let now = self.deps.clock.now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(bucket) = buckets.get_mut(organisation) else {
            return;
        };
        bucket.advance(now);
        bucket.release(Amount::tokens(held), Amount::tokens(used));
    }
}

#[async_trait]
impl Limiter for Baseline {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        _time_left: Duration,
    ) -> Result<Hold, Refusal> {
        self.0.charge(organisation, tokens)?;
        let settler = Arc::clone(&self.0);
        Ok(Hold::new(organisation.clone(), tokens, settler))
    }
}

/// Creates a full bucket.
fn full_bucket(now: Duration, burst: Amount) -> Bucket {
    let mut bucket = Bucket::empty(now);
    bucket.resize(burst, RefillRate::ZERO);
    bucket.add_tokens(burst);
    bucket
}

/// Returns an organisation's rate and burst in the configuration in force.
pub(super) fn rate_and_burst(
    deps: &LimiterDeps,
    organisation: &OrganisationId,
) -> Result<(u64, u64), Refusal> {
    let snapshot = deps.snapshot.borrow();
    match snapshot.merged.organisations.get(organisation) {
        Some(o) => Ok((o.rate, o.burst)),
        None => Err(Refusal::not_run(
            Code::BadKey,
            format!("unknown organisation `{organisation}`"),
        )),
    }
}

/// Creates the refusal of a request that can never be admitted.
pub(super) fn larger_than_burst(tokens: u64, burst: u64) -> Refusal {
    Refusal::not_run(
        Code::LargerThanBurst,
        format!("the request needs {tokens} tokens, more than the burst of {burst}"),
    )
}

/// Creates the refusal of a request that may be admitted after `wait`, if that time is known.
pub(super) fn rate_exceeded(wait: Option<Duration>) -> Refusal {
    let refusal = Refusal::not_run(
        Code::RateExceeded,
        "the organisation's rate and burst are used up for now",
    );
    match wait {
        Some(wait) => refusal.retry_after(wait.max(Duration::from_millis(1))),
        None => refusal,
    }
}
