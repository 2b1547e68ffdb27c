//! Routing decisions of the relay: an entry forwards a request directly to an upstream, and agents
//! distribute weights to the engines beside them. The modules do no I/O; callers pass the time.

pub mod admission_level;
pub mod byte_budget;
pub mod caller_time;
pub mod catalog;
pub mod chooser;
pub mod customer_shares;
pub mod entry_limits;
pub mod events;
pub mod fetch_choice;
pub mod full_cause;
pub mod liveness;
pub mod load_order;
pub mod notices;
pub mod part_evidence;
pub mod part_tracker;
pub mod peer_lines;
pub mod piece_fetch;
pub mod rate_share;
pub mod readers;
pub mod recent_rate;
pub mod request_size;
pub mod request_suspects;
pub mod rollout;
pub mod row_version;
pub mod schedule;
pub mod shutdown;
pub mod sources;
pub mod speed;
pub mod stated_limit;
pub mod subset;
pub mod upstream_rates;
pub mod upstreams;
pub mod wait_line;
