//! The messages in which instances ask schedulers for places, and report how requests went.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::gateway::pool::TargetEvent;
use crate::gateway::target_limits::{ProcessKey, WireLimit};
use crate::gateway::warmth::WireCold;
use crate::gateway::withdrawal::QuietEnd;
use crate::id::{InstanceId, TargetId};

/// A request for a place at a target.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct WirePlaceRequest {
    pub(super) service: SmolStr,
    pub(super) software_version: Option<SmolStr>,
    pub(super) prompt: Vec<(u64, u32)>,
    pub(super) tried: Vec<TargetId>,
    /// The instance that asks, and the targets that it does not reach.
    pub(super) asker: InstanceId,
    pub(super) avoided: Vec<TargetId>,
    /// Longest wait with which the request takes a place; `None` for any.
    pub(super) max_wait_ms: Option<f64>,
    pub(super) time_left_ms: u64,
    /// The limits that the service's targets have named, as the sender knows them. A scheduler that
    /// has just started may not.
    pub(super) limits: Vec<(ProcessKey, WireLimit)>,
}

/// A request for a place that says how urgent it is. Instances of older builds do not know this
/// message and are sent the [`WirePlaceRequest`] alone.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct WireRankedRequest {
    /// The encoded [`WirePlaceRequest`].
    pub(super) request: Bytes,
    /// The priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// Whether the request leaves slots free for more urgent ones.
    pub(super) yields: bool,
    /// What the service's targets have said of the requests that they can turn away, as the sender
    /// knows it.
    #[serde(default)]
    pub(super) brittle: Vec<(ProcessKey, WireLimit)>,
    /// The targets that the sender has found to be cold.
    #[serde(default)]
    pub(super) cold: Vec<WireCold>,
}

/// The answer to a [`WireRankedRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) struct WireRankedAnswer {
    /// The encoded [`WirePlace`].
    pub(super) place: Bytes,
    /// What the request costs at the place beyond its wait, in milliseconds.
    #[serde(default)]
    pub(super) added_ms: f64,
}

/// The answer to a request for a place.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::gateway) enum WirePlace {
    Reserved {
        reservation: u64,
        target: TargetId,
        wait_ms: f64,
        cost_ms: f64,
        ejected: bool,
        /// How long the request has to be held back for the limit that the target has named.
        send_delay_ms: u32,
    },
    /// Every target would keep the request waiting for too long; the shortest wait.
    Overloaded(f64),
    NoTarget,
    /// Every target has asked for quiet.
    Quiet(WireQuiet),
}

/// The quiet of the target that takes requests again first, as encoded between instances.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::gateway) struct WireQuiet {
    left_us: u64,
    length_us: u64,
}

impl From<QuietEnd> for WireQuiet {
    fn from(quiet: QuietEnd) -> Self {
        Self {
            left_us: whole_micros(quiet.left),
            length_us: whole_micros(quiet.length),
        }
    }
}

impl From<WireQuiet> for QuietEnd {
    fn from(wire: WireQuiet) -> Self {
        Self {
            left: Duration::from_micros(wire.left_us),
            length: Duration::from_micros(wire.length_us),
        }
    }
}

fn whole_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A report of one event, as encoded between instances.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::gateway) struct WireReport {
    pub(super) reservation: u64,
    pub(super) event: WireEvent,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(in crate::gateway) enum WireEvent {
    Prefilled,
    Load { running: u32, waiting: u32 },
    Succeeded,
    Failed,
    Unreachable,
    Ended,
    Leaving,
    Quiet { ms: u32 },
}

impl WireReport {
    pub(super) fn new(reservation: u64, event: TargetEvent) -> Self {
        Self {
            reservation,
            event: event.into(),
        }
    }
}

impl From<TargetEvent> for WireEvent {
    fn from(event: TargetEvent) -> Self {
        match event {
            TargetEvent::Prefilled => Self::Prefilled,
            TargetEvent::Load { running, waiting } => Self::Load { running, waiting },
            TargetEvent::Succeeded => Self::Succeeded,
            TargetEvent::Failed => Self::Failed,
            TargetEvent::Unreachable => Self::Unreachable,
            TargetEvent::Ended => Self::Ended,
            TargetEvent::Leaving => Self::Leaving,
            TargetEvent::Quiet(quiet) => Self::Quiet {
                ms: u32::try_from(quiet.as_millis()).unwrap_or(u32::MAX),
            },
        }
    }
}

impl From<WireEvent> for TargetEvent {
    fn from(event: WireEvent) -> Self {
        match event {
            WireEvent::Prefilled => Self::Prefilled,
            WireEvent::Load { running, waiting } => Self::Load { running, waiting },
            WireEvent::Succeeded => Self::Succeeded,
            WireEvent::Failed => Self::Failed,
            WireEvent::Unreachable => Self::Unreachable,
            WireEvent::Ended => Self::Ended,
            WireEvent::Leaving => Self::Leaving,
            WireEvent::Quiet { ms } => Self::Quiet(Duration::from_millis(ms.into())),
        }
    }
}

crate::wire_format!("place-reports", Vec<WireReport>);
crate::wire_format!("place", WirePlace);
crate::wire_format!("place-request", WirePlaceRequest);
