//! The direct request path of an entry: callers' requests are forwarded straight to upstreams,
//! which are chosen from the platform's tables, the agents' reports and the upstreams' answers.
//!
//! Nothing in this module depends on the platform's formats. An adapter implements the traits of
//! [`ports`] for each platform.

pub mod access_log;
pub mod admit;
pub mod answer_buffer;
pub mod attempt;
pub mod body;
pub mod body_budget;
pub mod broadcast;
pub mod call;
pub mod caller_body;
pub mod connection_limit;
pub mod connection_timer;
pub mod daemon;
pub mod datagram;
pub mod datagram_handler;
pub mod entry_rows;
pub mod fleet;
pub mod http_client;
pub mod message;
pub mod metrics;
pub mod mirror;
pub mod overlay;
pub mod part_news;
pub mod part_watch;
pub mod ports;
pub mod refusal;
pub mod server;
pub mod stream;
pub mod table_copy;
pub mod withdrawable;
