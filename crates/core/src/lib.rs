//! The decision logic of agatepin, as state machines without I/O.
//!
//! Nothing here opens a socket or a file, reads a clock or needs an async runtime. Each state
//! machine takes typed events, with an [`std::time::Instant`] where time matters, and returns
//! typed outcomes that the `agatepin` crate executes.

#[macro_use]
mod macros;

pub mod budget;
pub mod chunk_mesh;
pub mod claim;
pub mod config;
pub mod fair_queue;
pub mod fence;
pub mod gate;
pub mod heartbeat;
pub mod ids;
pub mod ledger;
pub mod manifest;
pub mod member;
pub mod overlay;
pub mod placement;
pub mod planner;
pub mod poison;
pub mod pull;
pub mod rank;
pub mod relay;
pub mod retry;
pub mod router;
pub mod spread;
pub mod tracker;
