//! Reply to a status request: the state of all processes that the entry knows.

use agatepin_core::member::MemberRole;
use agatepin_core::tracker::{MemberRecord, MemberStatus};

use super::{EntryReporter, OperatorDependencies};
use crate::rpc;
use crate::wire::frames::AgentState;

/// Builds the reply from the member records, the agents' states and the counts of refused calls.
pub(super) fn read<Store, Reporter>(
    dependencies: &OperatorDependencies<Store, Reporter>,
) -> rpc::StatusReply
where
    Reporter: EntryReporter,
{
    let config = dependencies.spread.config.borrow().clone();
    let state = dependencies.spread.state.borrow().clone();
    let processes = dependencies.directory.read(|agents| {
        let records = state.records.iter();
        records
            .map(|record| process_status(record, agents.get(&record.member.instance)))
            .collect()
    });
    rpc::StatusReply {
        revision: config.revision,
        data_centres: config.data_centres.iter().map(Into::into).collect(),
        processes,
        refusals: dependencies.reporter.refusals(),
    }
}

fn process_status(record: &MemberRecord, agent: Option<&AgentState>) -> rpc::ProcessStatus {
    let role = match record.member.role {
        MemberRole::Entry => "entry",
        MemberRole::Agent => "agent",
    };
    let mut status = rpc::ProcessStatus {
        instance: record.member.instance.clone(),
        role: role.to_owned(),
        data_centre: record.member.data_centre.clone(),
        config_revision: record.config_revision,
        leaving: record.status == MemberStatus::Leaving,
        liveness: liveness(record.status).to_owned(),
        ..rpc::ProcessStatus::default()
    };
    if let Some(agent) = agent {
        add_agent_state(&mut status, agent);
    }
    status
}

/// Adds what the agent itself reported. `state` becomes the name of the gate state (admission
/// control of the upstream) in lower case, without the enum's prefix.
fn add_agent_state(status: &mut rpc::ProcessStatus, agent: &AgentState) {
    status.config_revision = status.config_revision.max(agent.config_revision);
    status.upstream.clone_from(&agent.upstream);
    agent
        .gate()
        .as_str_name()
        .trim_start_matches("GATE_STATE_")
        .to_ascii_lowercase()
        .clone_into(&mut status.state);
    status.model.clone_from(&agent.model);
    status.version.clone_from(&agent.version);
    status.cold = agent.cold;
    status.leaving |= agent.leaving;
    status.in_flight = agent.in_flight;
    status.limit = agent.limit;
    status.chunks_held = agent.chunks_held;
    status.chunks_wanted = agent.chunks_wanted;
}

fn liveness(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Leaving => "leaving",
        MemberStatus::Dead => "dead",
    }
}
