//! Decisions of the direct path: an entry passes a caller's request straight to an upstream, and
//! agents bring weights to the upstreams beside them.

pub mod book;
pub mod catalog;
pub mod chooser;
pub mod events;
pub mod liveness;
pub mod patience;
pub mod readers;
pub mod rollout;
pub mod schedule;
pub mod share;
pub mod sources;
pub mod subset;
