//! The entry: takes callers' requests and operators' calls.

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
pub mod placement;
mod process;
pub mod reply;
pub mod settled;

pub use self::process::{EntryDaemon, EntryReport};
