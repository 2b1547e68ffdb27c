//! Decisions of the direct path: an entry passes a caller's request straight to an upstream, and
//! agents bring weights to the upstreams beside them.

pub mod catalog;
pub mod chooser;
pub mod client_timeout;
pub mod events;
pub mod liveness;
pub mod rate_share;
pub mod readers;
pub mod rollout;
pub mod schedule;
pub mod sources;
pub mod subset;
pub mod upstreams;
