//! Quarantine of requests and prompt parts that crash targets: they are refused for a limited time.
//!
//! How a culprit is found differs. The [dispatcher](crate::attempt) runs a request that was in
//! flight at a crash where no other suspect runs; if the target crashes again, the request is
//! quarantined. The [gateway](crate::gateway) may send requests with a harmful part from many
//! instances, no two of them alike, so [`blame`] weighs the crashes of all instances.

pub mod blame;
pub mod completions;
mod message;
pub mod service;
mod suspect;

pub use suspect::Suspect;

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::call::{Call, Operation};

/// Default duration of a quarantine.
pub const DEFAULT_QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Time after which a request without another crash is no longer a suspect.
const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// Maximum number of recorded requests; when another request is recorded, the record that expires
/// first is evicted.
const MAX_RECORDS: usize = 10_000;

/// Identifies equal requests by a hash of organisation, route, path and body, or a prompt part at a
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a call.
    pub fn of(call: &Call) -> Self {
        let organisation = call
            .organisation
            .as_ref()
            .map_or("", |organisation| organisation.as_str());
        let path = match &call.operation {
            Operation::Model { path, .. } | Operation::Service { path, .. } => path,
        };
        Self::of_request(organisation, call.route.as_str(), path, &call.body)
    }

    /// Returns the fingerprint of a prompt part at a service; its low half is the part's id.
    pub fn of_part(service: &str, id: u64) -> Self {
        let service = crate::rendezvous::weight(b"prompt part", service.as_bytes());
        Self(u128::from(service) << 64 | u128::from(id))
    }

    /// Computes the fingerprint of a request.
    pub fn of_request(organisation: &str, route: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [organisation, route, path] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is recorded for the request.
    Clear,
    /// A target crashed while running the request.
    Suspect,
    /// The request is refused for the given remaining time.
    Quarantined(Duration),
}

/// The suspects and the quarantined requests that an instance knows about.
#[derive(Debug)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    duration: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    quarantined: bool,
    expires: Duration,
}

impl Quarantine {
    /// Creates an empty quarantine that refuses requests for `duration`.
    pub fn new(duration: Duration) -> Self {
        Self {
            records: HashMap::new(),
            duration,
        }
    }

    /// Returns the status of a request.
    pub fn status(&self, now: Duration, request: Fingerprint) -> QuarantineStatus {
        match self.records.get(&request) {
            Some(record) if record.expires <= now => QuarantineStatus::Clear,
            Some(record) if record.quarantined => {
                QuarantineStatus::Quarantined(record.expires - now)
            }
            Some(_) => QuarantineStatus::Suspect,
            None => QuarantineStatus::Clear,
        }
    }

    /// Records that a target crashed while running a request, and returns the new status.
    ///
    /// `alone` says whether the request ran as a suspect with no other suspect on that target.
    pub fn record_crash(
        &mut self,
        now: Duration,
        request: Fingerprint,
        alone: bool,
    ) -> QuarantineStatus {
        let status = self.status(now, request);
        let quarantined = match status {
            QuarantineStatus::Quarantined(_) => return status,
            QuarantineStatus::Suspect => alone,
            QuarantineStatus::Clear => false,
        };
        let duration = if quarantined {
            self.duration
        } else {
            SUSPECT_TIME
        };
        self.insert(now, request, quarantined, duration);
        self.status(now, request)
    }

    /// Removes the suspicion from a request that got its complete answer.
    pub fn cleared(&mut self, request: Fingerprint) {
        if self
            .records
            .get(&request)
            .is_some_and(|record| !record.quarantined)
        {
            self.records.remove(&request);
        }
    }

    /// Records that another instance has quarantined a request for the given remaining time.
    pub fn record_remote_quarantine(
        &mut self,
        now: Duration,
        request: Fingerprint,
        remaining: Duration,
    ) {
        self.insert(now, request, true, remaining.min(self.duration));
    }

    /// Removes the records that have expired; returns those of quarantined requests.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Fingerprint> {
        let mut released = Vec::new();
        self.records.retain(|request, record| {
            let keep = record.expires > now;
            if !keep && record.quarantined {
                released.push(*request);
            }
            keep
        });
        released
    }

    /// Removes the record of a request; returns `false` if the request was not quarantined.
    pub fn release(&mut self, request: Fingerprint) -> bool {
        self.records
            .remove(&request)
            .is_some_and(|record| record.quarantined)
    }

    /// Returns the quarantined requests, each with the remaining time of its quarantine.
    pub fn quarantined_requests(&self, now: Duration) -> Vec<(Fingerprint, Duration)> {
        let mut requests = Vec::new();
        for (request, record) in &self.records {
            if !record.quarantined || record.expires <= now {
                continue;
            }
            requests.push((*request, record.expires - now));
        }
        requests.sort_unstable();
        requests
    }

    fn insert(
        &mut self,
        now: Duration,
        request: Fingerprint,
        quarantined: bool,
        duration: Duration,
    ) {
        if self.records.len() >= MAX_RECORDS {
            self.evict(now);
        }
        let expires = now + duration;
        self.records.insert(
            request,
            Record {
                quarantined,
                expires,
            },
        );
    }

    fn evict(&mut self, now: Duration) {
        self.records.retain(|_, record| record.expires > now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let first = self.records.iter().min_by_key(|(_, record)| record.expires);
        if let Some(request) = first.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }
}
