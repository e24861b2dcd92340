//! The report on service-level objectives and their error-budget burn.
//!
//! Each instance counts its requests against the operators' objectives in a [`Series`] by minute
//! and by hour. A report adds up the series of all instances that answer. A [`BurnLine`] gives the
//! rate at which an objective's error budget is used, over short and long windows.
//!
//! ```
//! use limpetstand::report::{Counts, Series, Window};
//!
//! let mut series = Series::default();
//! series.add(100, Counts { total: 1000, bad: 2, ..Counts::default() });
//! let seen = series.sum(100, Window::FiveMinutes);
//! assert_eq!(seen.total, 1000);
//! ```

use std::time::{SystemTime, UNIX_EPOCH};

pub use self::burn::{Alert, BurnLine, burn_line};
pub use self::event::{Event, Outcome};
pub use self::gather::{BurnReport, Reporter};
pub use self::recorder::Recorder;
pub use self::series::{Counts, Series, Window};

mod burn;
mod event;
mod gather;
#[cfg(feature = "plots")]
mod page;
mod recorder;
mod routes;
mod series;
pub mod wire;

pub use self::routes::router;

/// Minutes since the Unix epoch.
pub type Minute = u64;

const SECONDS_PER_MINUTE: u64 = 60;

/// Returns the current minute by the system clock, or 0 if that clock is before the Unix epoch.
pub fn current_minute() -> Minute {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs() / SECONDS_PER_MINUTE
}
