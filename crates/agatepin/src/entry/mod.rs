//! The entry daemon: serves callers over HTTP, routes their calls to agents and serves the operator
//! API.

pub mod answer;
mod body;
pub mod call_server;
pub mod calls;
pub mod claim_rows;
pub mod claims;
pub mod directory;
mod dump;
pub mod http;
pub mod links;
pub mod metrics;
pub mod open_calls;
mod paced_stream;
pub mod placement;
mod process;
pub mod reply;
pub mod settlement;

pub use self::process::{EntryDaemon, StateReporter};
