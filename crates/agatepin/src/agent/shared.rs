//! State that the tasks of an agent share.

use std::sync::atomic::AtomicU32;

use super::gate::SharedGate;
use crate::context::ProcessContext;
use crate::settings::AgentSettings;

/// State of one agent that its tasks share.
#[derive(Debug)]
pub struct AgentShared {
    /// Identity of the process, configuration in force, cluster members that the process knows, and
    /// shutdown signals.
    pub context: ProcessContext,
    /// Settings from the agent's settings file.
    pub settings: AgentSettings,
    /// Admission control of the upstream.
    pub gate: SharedGate,
    /// Number of chunks of the wanted version that are verified and in memory.
    pub chunks_held: AtomicU32,
    /// Total number of chunks of the wanted version. 0 until the first manifest has been
    /// fetched.
    pub chunks_wanted: AtomicU32,
}
