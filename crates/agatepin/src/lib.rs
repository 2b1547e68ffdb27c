//! agatepin routes requests to model servers and distributes model weights to them, built for
//! bursts of load.
//!
//! The logic that does no I/O is in `agatepin_core`; this crate adds sockets, files, timers and
//! tasks. The binaries in `src/bin/` only parse their arguments and call this library.

pub mod agent;
pub mod bearer;
pub mod client;
pub mod cmd;
pub mod context;
pub mod daemon;
pub mod document;
pub mod entry;
pub mod http_admin;
pub mod loader;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod operator;
pub mod platform;
pub mod relay;
pub mod rpc;
pub mod settings;
pub mod spread;
pub mod startup;
pub mod store;
pub mod suspects;
pub mod wire;
