//! Members of the cluster: the processes that this one knows of.

use std::net::SocketAddr;

use crate::ids::{DataCentreId, InstanceId, UpstreamId};

key_type! {
    /// Kind of process that a member is.
    pub enum MemberRole {
        /// An entry, which accepts callers' requests.
        Entry,
        /// An agent, which runs beside an upstream.
        Agent,
    }

    /// Health of a member, as far as this process knows.
    pub enum MemberHealth {
        /// The member is not suspected to have failed.
        Alive,
        /// A neighbour, a process with a link to the member, lost that link. The member counts as
        /// dead unless it refutes this in time with a newer record.
        Suspect,
        /// The member did not refute the suspicion in time, or it has shut down.
        Dead,
    }
}

value_type! {
    /// One process of the cluster.
    pub struct ClusterMember {
        /// Name of the process.
        pub instance: InstanceId,
        /// Entry or agent.
        pub role: MemberRole,
        /// Data centre that the process runs in.
        pub data_centre: DataCentreId,
        /// Address for links from other processes of the cluster.
        pub wire: SocketAddr,
        /// Address of the HTTP listener.
        pub http: SocketAddr,
        /// Upstream beside an agent; `None` for an entry, and until the agent has announced itself.
        pub upstream: Option<UpstreamId>,
        /// Whether the process has announced that it is shutting down.
        pub leaving: bool,
        /// Health of the member, as far as this process knows.
        pub health: MemberHealth,
    }

    /// All cluster members that this process knows. The view lags behind the cluster: it may affect
    /// how well calls and links are placed, but correctness must not depend on it.
    #[derive(Default)]
    pub struct MemberView {
        /// Members, sorted by name.
        pub members: Vec<ClusterMember>,
    }
}

impl MemberView {
    /// Returns the member named `instance`.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<&ClusterMember> {
        let index = self
            .members
            .binary_search_by(|member| member.instance.as_str().cmp(instance))
            .ok()?;
        self.members.get(index)
    }

    /// Returns the members of `role` that are neither dead nor leaving.
    pub fn live(&self, role: MemberRole) -> impl Iterator<Item = &ClusterMember> {
        self.members.iter().filter(move |member| {
            member.role == role && !member.leaving && member.health != MemberHealth::Dead
        })
    }
}
