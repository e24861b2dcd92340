//! What a crash of a target may be blamed on.

use super::Fingerprint;
use crate::rendezvous::weight;

/// A request or a prompt part that was in flight at a target that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Identifies the request or the part.
    pub fingerprint: Fingerprint,
    /// Tells requests with the same part apart.
    pub request: u64,
    /// Whether a part of the request's prompt is the suspect, or the whole request.
    pub is_part: bool,
}

impl Suspect {
    /// Returns the suspects of a request: the request, and each part of its prompt that other
    /// requests may share, which excludes the last.
    ///
    /// Parts are told apart by service, as the models of another service may read them well.
    pub fn of_request(request: Fingerprint, service: &str, prompt: &[u64]) -> Vec<Self> {
        let last = prompt.last().copied().unwrap_or_default();
        let identity = weight(&request.0.to_be_bytes(), &last.to_be_bytes());
        let mut suspects = vec![Self {
            fingerprint: request,
            request: identity,
            is_part: false,
        }];
        let Some((_, shared)) = prompt.split_last() else {
            return suspects;
        };
        for id in shared {
            let suspect = Self {
                fingerprint: Fingerprint::of_part(service, *id),
                request: identity,
                is_part: true,
            };
            if !suspects.contains(&suspect) {
                suspects.push(suspect);
            }
        }
        suspects
    }
}
