//! The agent on the direct path: fetches and verifies the pieces of a weights version, has the
//! engine beside it load them, and reports the engine's load to the entries.

pub mod cache;
pub mod daemon;
pub mod monitor;
pub mod pieces;
pub mod stage;
pub mod swap;
pub mod view;
