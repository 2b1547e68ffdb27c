//! The direct path of an entry: callers' requests go straight to upstreams, with what the
//! platform's tables, the agents and the answers tell of them.
//!
//! Nothing here knows the platform's names. [`ports`] has the traits that its adapter implements.

pub mod admit;
pub mod body;
pub mod call;
pub mod daemon;
pub mod datagram;
pub mod entry_rows;
pub mod fleet;
pub mod http_client;
pub mod listener;
pub mod log_line;
pub mod message;
pub mod metrics;
pub mod mirror;
pub mod overlay;
pub mod ports;
pub mod refusal;
pub mod send;
pub mod server;
pub mod speaker;
pub mod stream;
pub mod table_copy;
