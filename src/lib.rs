//! A multi-region inference gateway that consists of many equal instances.
//!
//! Every instance runs the same program between callers and targets. Each request is answered by
//! a suitable model in a region that the request may use. Each organisation gets its fair share and
//! is held to its limits across all instances. Each caller receives the complete answer to its own
//! request, or an explicit refusal.
//!
//! # Running an instance
//!
//! [`Settings`] are read from a TOML file and validated, and [`Kernel`] runs an instance until it
//! is told to stop. The daemon `limpetstandd` does essentially this:
//!
//! ```no_run
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! use limpetstand::{Kernel, Settings};
//!
//! let settings = Settings::read("instance.toml".as_ref())?;
//! let stop = async { tokio::signal::ctrl_c().await.unwrap_or(()) };
//! Kernel::run(settings, stop).await?;
//! # Ok(())
//! # }
//! ```
//!
//! # Configuration
//!
//! The configuration is a tree of TOML documents that operators edit; a [`Document`] is one of
//! them.
//!
//! ```
//! use limpetstand::Document;
//!
//! let text = r#"
//! [organisations.brides]
//! rate = 5000    # tokens a second, over the whole fleet
//! burst = 20000  # tokens at once after a pause
//! regions = ["gauteng", "western-cape"]
//!
//! [routes.menu]
//! model = "menu-7b"
//! "#;
//! let document: Document = toml::from_str(text)?;
//! assert_eq!(document.organisations[&"brides".into()].rate, 5000);
//! # Ok::<(), toml::de::Error>(())
//! ```
//!
//! # Refusals
//!
//! A [`Refusal`] has a stable code, may say when to retry, and says whether the request may have
//! run. [`Ran::No`] means that no byte of the request can have reached a target.
//!
//! ```
//! use limpetstand::{Code, Ran, Refusal};
//!
//! let refusal = Refusal::not_run(Code::Overloaded, "the queue is full");
//! assert_eq!(refusal.ran(), Ran::No);
//! assert_eq!(refusal.code().status(), 503);
//! ```
//!
//! # Extending
//!
//! Implementations of stores ([`store::Store`]), targets ([`target::Target`]), limiters
//! ([`limit::Limiter`]) and route scorers register themselves with `inventory` and are selected by
//! name in the settings.

pub use self::config::Document;
pub use self::kernel::Kernel;
pub use self::refusal::{Code, Ran, Refusal};
pub use self::settings::Settings;

mod accept;
pub mod admin;
pub mod attempt;
mod bounded;
pub mod call;
pub mod claim;
pub mod cli;
pub mod clock;
mod closing_stream;
pub mod config;
pub mod daemon;
pub mod departure;
pub mod entries;
pub mod fair;
pub mod front;
pub mod gateway;
mod guarded_body;
pub mod id;
pub mod in_flight;
pub mod journal;
pub mod kernel;
pub mod key;
pub mod limit;
pub mod logging;
pub mod member;
pub mod peer;
pub mod place;
pub mod platform;
pub mod quarantine;
pub mod refusal;
pub mod rendezvous;
pub mod report;
pub mod request_body;
pub mod retry_budget;
pub mod route;
pub mod settings;
pub mod store;
pub mod target;
