//! The routing requirements of one request, kept over all its attempts.

use std::time::Duration;

use crate::call::{Call, Operation};
use crate::id::{OrganisationId, RegionId};
use crate::route::{BlockHash, PoolName, RegionKey, RouteRequest, Scope, TargetKey, prompt_blocks};

/// Estimated size of one generated token in an event stream.
const ANSWER_BYTES_PER_TOKEN: u64 = 200;

/// Prompt tokens that cost an engine as much as one generated token.
const PROMPT_TOKENS_PER_GENERATED_TOKEN: u64 = 10;

/// What a request requires of its target, and the targets and regions that failed the request.
#[derive(Debug, Clone)]
pub(super) struct Requirements {
    pub(super) pool: PoolName,
    pub(super) regions: Vec<RegionId>,
    pub(super) scope: Scope,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) weight: f64,
    pub(super) priority: u8,
    pub(super) prompt_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) needs_complete_answer: bool,
    pub(super) link_bytes: u64,
    pub(super) prompt_blocks: Vec<BlockHash>,
    pub(super) deadline: Duration,
    pub(super) tried_targets: Vec<TargetKey>,
    pub(super) tried_regions: Vec<RegionKey>,
    pub(super) suspect: bool,
}

impl Requirements {
    /// Derives the requirements of a call that `pool` serves; `weight` belongs to its organisation.
    pub(super) fn of(call: &Call, pool: PoolName, weight: f64, now: Duration) -> Self {
        let output_tokens = call.tokens.saturating_sub(call.prompt_tokens);
        let prompt_blocks = match &call.operation {
            Operation::Model { .. } => prompt_blocks(&call.body),
            Operation::Service { .. } => Vec::new(),
        };
        let scope = if call.hops > 0 {
            Scope::LocalRegion
        } else {
            Scope::AnyRegion
        };
        Self {
            pool,
            regions: call.regions.clone(),
            scope,
            organisation: call.organisation.clone(),
            weight,
            priority: call.priority,
            prompt_tokens: call.prompt_tokens,
            output_tokens,
            needs_complete_answer: !matches!(call.operation, Operation::Model { stream: true, .. }),
            link_bytes: call.body.len() as u64 + output_tokens * ANSWER_BYTES_PER_TOKEN,
            prompt_blocks,
            deadline: now + call.time_left,
            tried_targets: Vec::new(),
            tried_regions: Vec::new(),
            suspect: false,
        }
    }

    /// Returns the query for the routing state.
    pub(super) fn route_query(
        &self,
        queue_wait: Duration,
        hint: Option<TargetKey>,
    ) -> RouteRequest<'_> {
        RouteRequest {
            pool: &self.pool,
            regions: &self.regions,
            scope: self.scope,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            full_response: self.needs_complete_answer,
            link_bytes: self.link_bytes,
            blocks: &self.prompt_blocks,
            failed_targets: &self.tried_targets,
            failed_regions: &self.tried_regions,
            hint,
            suspect: self.suspect,
            queue_wait,
        }
    }

    /// Returns the cost of the request for a target, in generated tokens.
    pub(super) fn work(&self) -> u64 {
        (self.output_tokens + self.prompt_tokens / PROMPT_TOKENS_PER_GENERATED_TOKEN).max(1)
    }

    /// Returns whether the request is not a suspect and has not failed in the current round.
    pub(super) fn is_first_attempt(&self) -> bool {
        self.tried_targets.is_empty() && self.tried_regions.is_empty() && !self.suspect
    }
}
