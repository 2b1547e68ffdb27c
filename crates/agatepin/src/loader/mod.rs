//! The agent on the direct request path, where entries forward requests straight to engines and not
//! through agents: fetches and verifies the pieces of a weights version, has the engine beside it
//! load them, and reports the engine's load to the entries.

pub mod boot_clock;
pub mod cache;
pub mod daemon;
pub mod monitor;
pub mod pieces;
pub mod stage;
pub mod swap;
pub mod uploads;
pub mod view;
pub mod watch;
