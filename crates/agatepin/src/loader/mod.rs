//! The agent on the direct path: brings complete weights to the engine beside it and tells the
//! entries its load.

pub mod beat;
pub mod daemon;
pub mod pieces;
pub mod stage;
pub mod swap;
pub mod vault;
pub mod view;
