//! Handlers for the status of the fleet, the wait for a revision, and the metrics.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde::Deserialize;
use tokio::time::Instant;

use super::AdminState;
use super::wire::{InstanceAnswer, LaggingInstance, StatusAnswer, WaitAnswer};
use crate::config::Revision;
use crate::config::distribution::InForce;
use crate::id::InstanceId;
use crate::member::{Fleet, Health, Member};

/// The maximum number of instances queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// The timeout for the answer of one instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause before instances without the wanted revision are queried again.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The wait timeout of a request that sets none.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// The upper limit of the wait timeout of a request.
const MAX_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

type Answers = HashMap<InstanceId, InForce>;

impl AdminState {
    fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.borrow())
    }

    fn local_in_force(&self) -> InForce {
        InForce {
            revision: self.distribution.loaded().borrow().revision(),
            age: self.distribution.freshness().age(),
        }
    }

    /// Queries members for the revision they have in force. The result has no entry for a member
    /// that does not answer.
    async fn query_members(&self, members: &[&Member]) -> Answers {
        let mut answers = Answers::new();
        let mut left = members.iter();
        let mut asked = FuturesUnordered::new();
        loop {
            while asked.len() < MAX_CONCURRENT_QUERIES
                && let Some(member) = left.next()
            {
                asked.push(self.query_member(member));
            }
            let Some((id, answer)) = asked.next().await else {
                return answers;
            };
            if let Some(answer) = answer {
                answers.insert(id, answer);
            }
        }
    }

    async fn query_member(&self, member: &Member) -> (InstanceId, Option<InForce>) {
        if member.id == self.me {
            return (member.id.clone(), Some(self.local_in_force()));
        }
        let answer = self.distribution.query_revision(member.peer);
        let answer = tokio::time::timeout(QUERY_TIMEOUT, answer).await;
        (member.id.clone(), answer.ok().flatten())
    }
}

pub(super) async fn status(State(state): State<Arc<AdminState>>) -> Json<StatusAnswer> {
    let fleet = state.fleet();
    let mut asked = Vec::new();
    for member in &fleet.members {
        if member.health != Health::Dead {
            asked.push(member);
        }
    }
    let answers = state.query_members(&asked).await;
    let mut instances = Vec::with_capacity(fleet.members.len());
    for member in &fleet.members {
        let answer = answers.get(&member.id);
        instances.push(InstanceAnswer {
            instance: member.id.as_str().into(),
            region: member.region.as_str().into(),
            data_centre: member.data_centre.clone(),
            health: health_name(member.health).into(),
            revision: answer.map(|a| a.revision.0),
            config_age_ms: answer.and_then(|a| millis(a.age)),
        });
    }
    let local_in_force = state.local_in_force();
    Json(StatusAnswer {
        instance: state.me.as_str().into(),
        revision: local_in_force.revision.0,
        config_age_ms: millis(local_in_force.age),
        instances,
        targets: fleet.targets.len(),
        store: state.store.usage().into(),
    })
}

fn millis(age: Option<Duration>) -> Option<u64> {
    u64::try_from(age?.as_millis()).ok()
}

fn health_name(health: Health) -> &'static str {
    match health {
        Health::Live => "live",
        Health::Suspect => "suspect",
        Health::Leaving => "leaving",
        Health::Dead => "dead",
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WaitOptions {
    revision: u64,
    timeout_ms: Option<u64>,
}

pub(super) async fn wait(
    State(state): State<Arc<AdminState>>,
    Query(options): Query<WaitOptions>,
) -> (StatusCode, Json<WaitAnswer>) {
    let wanted = Revision(options.revision);
    let wait = options
        .timeout_ms
        .map_or(DEFAULT_WAIT_TIMEOUT, Duration::from_millis)
        .min(MAX_WAIT_TIMEOUT);
    let deadline = Instant::now() + wait;
    let mut answers = Answers::new();
    loop {
        let lagging = query_lagging(&state, wanted, &mut answers).await;
        let in_force = lagging.is_empty();
        if in_force || Instant::now() + POLL_INTERVAL >= deadline {
            let status = match in_force {
                true => StatusCode::OK,
                false => StatusCode::GATEWAY_TIMEOUT,
            };
            let answer = WaitAnswer {
                revision: wanted.0,
                in_force,
                lagging,
            };
            return (status, Json(answer));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries the instances not yet known to have the wanted revision in force, and returns those
/// that still lack the revision or do not answer.
///
/// Dead instances are left out.
async fn query_lagging(
    state: &AdminState,
    wanted: Revision,
    answers: &mut Answers,
) -> Vec<LaggingInstance> {
    let fleet = state.fleet();
    let mut asked = Vec::new();
    for member in &fleet.members {
        let has_revision = answers
            .get(&member.id)
            .is_some_and(|a| a.revision >= wanted);
        if member.health != Health::Dead && !has_revision {
            asked.push(member);
        }
    }
    answers.extend(state.query_members(&asked).await);
    let mut lagging = Vec::new();
    if state.local_in_force().revision < wanted && !fleet.members.iter().any(|m| m.id == state.me) {
        lagging.push(LaggingInstance {
            instance: state.me.as_str().into(),
            revision: Some(state.local_in_force().revision.0),
        });
    }
    for member in asked {
        let revision = answers.get(&member.id).map(|a| a.revision);
        if revision.is_some_and(|r| r >= wanted) {
            continue;
        }
        lagging.push(LaggingInstance {
            instance: member.id.as_str().into(),
            revision: revision.map(|r| r.0),
        });
    }
    lagging
}

/// Updates the gauge of the configuration's age and renders the metrics.
pub(super) async fn metrics(State(state): State<Arc<AdminState>>) -> String {
    if let Some(age) = state.local_in_force().age {
        metrics::gauge!("limpetstand_config_age_seconds").set(age.as_secs_f64());
    }
    (state.metrics)()
}
