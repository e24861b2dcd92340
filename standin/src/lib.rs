//! Stand-ins for the systems around limpetstand, a quickstart and a load tool.
//!
//! Each stand-in has a handle whose methods change its behaviour at run time and return records of
//! the calls that it received.

pub mod bench;
pub mod caller;
pub mod engine;
pub mod fleet;
pub mod link;
pub mod operator;
pub mod overhead;
pub mod platform;
pub mod quickstart;
pub mod server;
pub mod service;
pub mod slopes;
pub mod store;
pub mod workload;
