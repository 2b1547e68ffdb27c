//! Tests of the relay's routing decisions.

mod relay {
    pub mod admission;
    pub mod admission_model;
    pub mod byte_budget;
    pub mod caller_time;
    pub mod catalog;
    pub mod chooser;
    pub mod engine_memory;
    pub mod entry_limits;
    pub mod events;
    pub mod fetch_choice;
    pub mod fleet_model;
    pub mod liveness;
    pub mod load_order;
    pub mod notices;
    pub mod part_fleet;
    pub mod part_model;
    pub mod parts;
    pub mod piece_fetch;
    pub mod rate_share;
    pub mod readers;
    pub mod request_size;
    pub mod request_suspects;
    pub mod rollout;
    pub mod schedule;
    pub mod setups;
    pub mod shutdown;
    pub mod small_service;
    pub mod sources;
    pub mod speed;
    pub mod stated_limit;
    pub mod subset;
    pub mod upstreams;
    pub mod wait_line;
}
