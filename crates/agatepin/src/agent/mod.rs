//! The agent: the daemon beside one upstream.
//!
//! It decides which calls the upstream receives, runs these calls for the entries, and keeps the
//! upstream's model weights at the version that the configuration asks for.

pub mod calls;
pub mod connections;
mod daemon;
pub mod gate;
pub mod limits;
pub mod shared;
pub mod state;
pub mod upstream;
pub mod weights;

pub use self::daemon::AgentDaemon;
