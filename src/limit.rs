//! Rate limits of organisations, enforced over the whole fleet.
//!
//! A [`Limiter`] charges a request once, at the instance that received it, and returns a [`Hold`].
//! The held tokens count against the burst until they have been served or released, so that the
//! targets serve at most `rate × window + burst` tokens in any window.
//!
//! A part is a fraction of an organisation's rate and burst. The ledger, a document in the store,
//! assigns each holder (one incarnation of an instance) a part, its floor; a loan moves a part and
//! tokens from one instance to another for a limited term.

pub mod account;
mod account_table;
pub mod amount;
mod baseline;
pub mod bucket;
mod delegate;
pub mod demand;
pub mod holders;
pub mod ledger;
pub mod ledger_client;
pub mod loan;
mod maintenance;
pub mod message;
mod shared_account;
mod shares;
pub mod tolerance;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use self::tolerance::Tolerance;
use crate::clock::Clock;
use crate::config::Snapshot;
use crate::id::{InstanceId, OrganisationId, RegionId};
use crate::member::Fleet;
use crate::peer::{PeerHandler, Peers};
use crate::refusal::Refusal;
use crate::store::Store;

/// Receives the tokens that a hold releases.
pub trait Settle: Send + Sync {
    /// Releases `held` tokens of the organisation, of which `used` have been served.
    fn release(&self, organisation: &OrganisationId, held: u64, used: u64);
}

/// Tokens charged to an organisation for one request, until they are settled as used or unused.
///
/// Dropping a hold counts all its tokens as used.
pub struct Hold {
    /// The organisation that was charged.
    pub organisation: OrganisationId,
    /// Tokens charged.
    pub tokens: u64,
    remaining: u64,
    settler: Option<Arc<dyn Settle>>,
    is_tolerated: bool,
}

impl Hold {
    /// Creates a hold that releases its tokens to `settler`.
    pub fn new(organisation: OrganisationId, tokens: u64, settler: Arc<dyn Settle>) -> Self {
        Self {
            organisation,
            tokens,
            remaining: tokens,
            settler: Some(settler),
            is_tolerated: false,
        }
    }

    /// Creates a hold of tokens beyond the organisation's rate and burst, which are not released.
    pub fn tolerated(organisation: OrganisationId, tokens: u64) -> Self {
        Self {
            organisation,
            tokens,
            remaining: tokens,
            settler: None,
            is_tolerated: true,
        }
    }

    /// Returns whether the tokens lie beyond the organisation's rate and burst.
    pub fn is_tolerated(&self) -> bool {
        self.is_tolerated
    }

    /// Reports that a target has served `tokens` more tokens of the request.
    ///
    /// Reports during a streamed answer free the burst earlier for other requests.
    pub fn served(&mut self, tokens: u64) {
        let served = tokens.min(self.remaining);
        self.remaining -= served;
        if let Some(settler) = &self.settler {
            settler.release(&self.organisation, served, served);
        }
    }

    /// Ends the hold; `used` counts all tokens served, including those reported earlier.
    pub fn settle(mut self, used: u64) {
        let reported = self.tokens - self.remaining;
        self.end(used.saturating_sub(reported));
    }

    fn end(&mut self, used: u64) {
        let Some(settler) = self.settler.take() else {
            return;
        };
        settler.release(&self.organisation, self.remaining, used);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.end(self.remaining);
    }
}

impl fmt::Debug for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hold")
            .field("organisation", &self.organisation)
            .field("tokens", &self.tokens)
            .field("left", &self.remaining)
            .finish_non_exhaustive()
    }
}

/// Admits requests within the rate limits of their organisations.
#[async_trait]
pub trait Limiter: Send + Sync {
    /// Charges `tokens` if the organisation has them at this instance or peers lend them in time.
    ///
    /// `time_left` is the time until the request's deadline, after which no tokens of the request
    /// are served.
    ///
    /// # Errors
    ///
    /// `LargerThanBurst`, which is final, or `RateExceeded` with the time after which the tokens
    /// may be available.
    async fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        time_left: Duration,
    ) -> Result<Hold, Refusal>;

    /// Releases unused tokens; equivalent to [`Hold::settle`].
    fn settle(&self, hold: Hold, used: u64) {
        hold.settle(used);
    }

    /// Returns whether this instance has just started and does not know its part yet, so that it may
    /// refuse requests within their organisation's rate.
    fn is_starting(&self) -> bool {
        false
    }

    /// Gives up all parts and loans of this instance; called once, when no request is in flight any
    /// more.
    async fn leave(&self) {}
}

/// Dependencies of a limiter.
#[derive(Clone)]
pub struct LimiterDeps {
    /// ID of this instance.
    pub id: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// Monotonic clock of this instance.
    pub clock: Clock,
    /// The configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// This instance's view of the fleet.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Client for calls to other instances.
    pub peers: Arc<dyn Peers>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Returns what organisations may use beyond their limits.
    pub tolerance: Arc<dyn Fn() -> Tolerance + Send + Sync>,
}

/// A running limiter.
pub struct Started {
    /// The limiter that charges requests.
    pub limiter: Arc<dyn Limiter>,
    /// Handler for peer messages of kind `limit`, if the limiter uses such messages.
    pub handler: Option<Arc<dyn PeerHandler>>,
}

/// A kind of limiter, registered with `inventory::submit!`.
pub struct LimiterPlugin {
    /// The name used in settings, such as `shares`.
    pub name: &'static str,
    /// Starts a limiter of this kind.
    pub start: fn(LimiterDeps) -> Started,
}

inventory::collect!(LimiterPlugin);

/// Returns whether a limiter of this name is registered.
pub fn is_known(name: &str) -> bool {
    inventory::iter::<LimiterPlugin>
        .into_iter()
        .any(|plugin| plugin.name == name)
}

/// No limiter of this name is registered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no limiter named `{0}`")]
pub struct NoSuchLimiter(pub String);

/// Starts the limiter of the given name.
///
/// # Errors
///
/// If no plug-in of that name is registered.
pub fn start(name: &str, deps: LimiterDeps) -> Result<Started, NoSuchLimiter> {
    for plugin in inventory::iter::<LimiterPlugin> {
        if plugin.name != name {
            continue;
        }
        return Ok((plugin.start)(deps));
    }
    Err(NoSuchLimiter(name.to_owned()))
}
