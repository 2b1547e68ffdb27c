//! Decisions of the direct path.

mod relay {
    pub mod book;
    pub mod catalog;
    pub mod chooser;
    pub mod events;
    pub mod liveness;
    pub mod patience;
    pub mod readers;
    pub mod schedule;
    pub mod setups;
    pub mod share;
    pub mod sources;
    pub mod subset;
}
