//! Names and IDs of instances, regions, organisations, targets, keys, routes, models and requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(SmolStr::new(s))
            }
        }

        impl From<String> for $name {
            fn from(s: String) -> Self {
                Self(SmolStr::from(s))
            }
        }
    };
}

name_type!(
    /// The name of an instance; an instance that replaces another has a different name.
    InstanceId
);
name_type!(
    /// The name of a region.
    RegionId
);
name_type!(
    /// The name of an organisation, which owns keys, a rate and a burst.
    OrganisationId
);
name_type!(
    /// The name of a target: a model engine or a plain service.
    TargetId
);
name_type!(
    /// The public name of a key; the name is not secret.
    KeyId
);
name_type!(
    /// The name of a route, under which callers reach a model or a service.
    RouteId
);
name_type!(
    /// The name of a model, as used in requests.
    ModelId
);

/// The ID of a request, chosen by the instance that received the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(u128);

impl RequestId {
    /// Returns a random ID.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl From<u128> for RequestId {
    fn from(n: u128) -> Self {
        Self(n)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
