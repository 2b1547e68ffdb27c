//! Cluster membership with suspicion and refutation, in the manner of SWIM.
//!
//! Members come from the instance list, which lags behind the cluster, and from the records that
//! processes announce and pass on. Each record carries a sequence number, like the incarnation
//! number of SWIM, that only the process which the record describes increments. Other processes may
//! change the record's status to a stronger one (a later variant of [`MemberStatus`]) under the
//! sequence number that they know; the described process refutes that with a record of a higher
//! number.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{IncarnationId, InstanceId, RevisionId};
use crate::member::{ClusterMember, MemberHealth, MemberView};
use crate::rank;

/// Hash of a record's instance, incarnation and sequence number, by which peers refer to the
/// record.
pub type RecordFingerprint = u64;

/// Maximum number of other members that are tracked; further ones are ignored.
pub const MAX_MEMBERS: usize = 8192;

key_type! {
    /// Status of a member. Of two records of a member with the same sequence number, the one with
    /// the later variant supersedes the other.
    pub enum MemberStatus {
        /// The member is not suspected to have failed.
        Alive,
        /// A neighbour lost its link to the member or could not connect; the member may refute.
        Suspect,
        /// The member has announced that it is shutting down.
        Leaving,
        /// The member did not refute the suspicion in time, or it has shut down.
        Dead,
    }
}

value_type! {
    /// State of one member as it is passed between processes.
    pub struct MemberRecord {
        /// The member. `status` decides its health and `leaving` in a [`MemberView`].
        pub member: ClusterMember,
        /// Incarnation of the process; 0 if only the instance list names the member.
        pub incarnation: IncarnationId,
        /// Sequence number that the member gave this record, like a SWIM incarnation number; a
        /// higher one supersedes lower ones. 0 if only the instance list names the member.
        pub number: u64,
        /// Latest variant of [`MemberStatus`] that is known for the record with this `number`.
        pub status: MemberStatus,
        /// Revision of the configuration in force in the member.
        pub config_revision: RevisionId,
    }

    /// Timeouts after which a [`MemberTracker`] declares members dead and forgets them.
    #[derive(Copy)]
    pub struct TrackerPolicy {
        /// Time that a suspect has to refute before it is declared dead.
        pub suspicion_timeout: Duration,
        /// Time since a member was recorded as dead after which it is forgotten, unless the
        /// instance list names it.
        pub forget_after: Duration,
    }
}

impl MemberRecord {
    /// Whether this record replaces `other`, a record of the same member.
    fn supersedes(&self, other: &Self) -> bool {
        let strength = |record: &Self| (record.number, record.status, record.incarnation);
        strength(self) > strength(other)
    }

    /// Whether both records have the same incarnation and sequence number.
    fn is_numbered_as(&self, other: &Self) -> bool {
        (self.incarnation, self.number) == (other.incarnation, other.number)
    }

    fn fingerprint(&self) -> RecordFingerprint {
        let incarnation = self.incarnation.to_le_bytes();
        let number = self.number.to_le_bytes();
        rank::score(&[incarnation, number].concat(), &self.member.instance)
    }

    fn to_member(&self) -> ClusterMember {
        let mut member = self.member.clone();
        member.health = match self.status {
            MemberStatus::Alive | MemberStatus::Leaving => MemberHealth::Alive,
            MemberStatus::Suspect => MemberHealth::Suspect,
            MemberStatus::Dead => MemberHealth::Dead,
        };
        member.leaving = member.leaving || self.status == MemberStatus::Leaving;
        member
    }
}

/// Addresses that the instance list gives for a member.
#[derive(Clone, Copy, Debug)]
struct ListedAddresses {
    /// Address for links from other processes of the cluster.
    wire: SocketAddr,
    /// Address of the HTTP listener.
    http: SocketAddr,
}

#[derive(Clone, Debug)]
struct TrackedMember {
    record: MemberRecord,
    /// When the record was received or this process last changed its status.
    updated_at: Instant,
    /// Addresses from the instance list; `None` if the list does not name the member.
    listed: Option<ListedAddresses>,
}

impl TrackedMember {
    /// Returns the member with its listed addresses, which take precedence over those that it
    /// announced.
    fn to_member(&self) -> ClusterMember {
        let mut member = self.record.to_member();
        if let Some(listed) = self.listed {
            member.wire = listed.wire;
            member.http = listed.http;
        }
        member
    }
}

/// Members of the cluster as one process knows them.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    /// Record of this process.
    own: MemberRecord,
    policy: TrackerPolicy,
    /// The other members by name.
    others: BTreeMap<InstanceId, TrackedMember>,
    /// Members whose record has changed and is to be sent to the neighbours (the processes that
    /// this one has overlay links to).
    changed_members: BTreeSet<InstanceId>,
    /// Names of the other members by the fingerprint of their record.
    fingerprints: HashMap<RecordFingerprint, InstanceId>,
    /// Members whose configuration revision has changed and is to be sent to the neighbours
    /// without the rest of the record.
    revised_members: BTreeSet<InstanceId>,
}

impl MemberTracker {
    /// Returns a tracker for the process that `own` describes, without other members.
    #[must_use]
    pub fn new(own: MemberRecord, policy: TrackerPolicy) -> Self {
        let changed_members = BTreeSet::from([own.member.instance.clone()]);
        Self {
            own,
            policy,
            others: BTreeMap::new(),
            changed_members,
            fingerprints: HashMap::new(),
            revised_members: BTreeSet::new(),
        }
    }

    /// Returns the record of this process.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Replaces the instance list by `list`. Members that are no longer listed stay if they have
    /// announced a record.
    pub fn listed(&mut self, list: Vec<ClusterMember>, now: Instant) {
        for tracked in self.others.values_mut() {
            tracked.listed = None;
        }
        for member in list {
            self.update_listed(member, now);
        }
        self.others
            .retain(|_, tracked| tracked.listed.is_some() || tracked.record.number > 0);
    }

    /// Updates or adds one listed member.
    fn update_listed(&mut self, member: ClusterMember, now: Instant) {
        if member.instance == self.own.member.instance {
            return;
        }
        let listed = Some(ListedAddresses {
            wire: member.wire,
            http: member.http,
        });
        if let Some(tracked) = self.others.get_mut(&member.instance) {
            tracked.listed = listed;
            if tracked.record.number == 0 {
                tracked.record.member = member;
            }
            return;
        }
        if self.others.len() >= MAX_MEMBERS {
            return;
        }
        let record = MemberRecord {
            member,
            incarnation: 0,
            number: 0,
            status: MemberStatus::Alive,
            config_revision: 0,
        };
        self.insert(record, listed, now);
    }

    /// Applies a record from a peer; returns whether the record superseded the known one, or, if it
    /// describes this process, whether it had to be refuted.
    pub fn apply_record(&mut self, mut record: MemberRecord, now: Instant) -> bool {
        if record.member.instance == self.own.member.instance {
            return self.refute(&record);
        }
        let name = &record.member.instance;
        match self.others.get(name) {
            Some(tracked) if !record.supersedes(&tracked.record) => return false,
            None if self.others.len() >= MAX_MEMBERS => return false,
            // Peers may still pass on a dead member that was forgotten here.
            None if record.status == MemberStatus::Dead => return false,
            _ => (),
        }
        let known = self.others.get(name);
        let listed = known.and_then(|known| known.listed);
        if let Some(known) = known.filter(|known| known.record.is_numbered_as(&record)) {
            let revision = known.record.config_revision;
            record.config_revision = record.config_revision.max(revision);
        }
        self.changed_members.insert(name.clone());
        self.insert(record, listed, now);
        true
    }

    /// Refutes `record`, which a peer sent about this process, if it supersedes the process's own
    /// record: the own record gets a sequence number above that of `record`. Returns whether
    /// `record` was refuted.
    fn refute(&mut self, record: &MemberRecord) -> bool {
        let own = (self.own.number, self.own.status, self.own.incarnation);
        if (record.number, record.status, record.incarnation) <= own {
            // A peer that suspects this process under an old sequence number lacks its current
            // record.
            if matches!(record.status, MemberStatus::Suspect | MemberStatus::Dead) {
                self.changed_members
                    .insert(self.own.member.instance.clone());
            }
            return false;
        }
        self.own.number = record.number.saturating_add(1);
        self.changed_members
            .insert(self.own.member.instance.clone());
        true
    }

    /// Records that a connection attempt to `instance`, started at `attempt_started_at`, failed.
    /// The member is suspected unless its record was received or changed status after
    /// `attempt_started_at`.
    pub fn connect_failed(&mut self, instance: &str, attempt_started_at: Instant, now: Instant) {
        let tracked = self.others.get(instance);
        if tracked.is_some_and(|tracked| tracked.updated_at <= attempt_started_at) {
            self.link_lost(instance, now);
        }
    }

    /// Records that the link to `instance` was lost: the member is suspected, or counts as dead if
    /// it was leaving.
    pub fn link_lost(&mut self, instance: &str, now: Instant) {
        let Some(tracked) = self.others.get_mut(instance) else {
            return;
        };
        let status = match tracked.record.status {
            MemberStatus::Alive => MemberStatus::Suspect,
            MemberStatus::Leaving => MemberStatus::Dead,
            MemberStatus::Suspect | MemberStatus::Dead => return,
        };
        tracked.record.status = status;
        tracked.updated_at = now;
        self.changed_members.insert(instance.to_owned());
    }

    /// Declares suspects dead that did not refute in time, and forgets members that have been dead
    /// for long.
    pub fn tick(&mut self, now: Instant) {
        let policy = self.policy;
        for (name, tracked) in &mut self.others {
            let waited = now.saturating_duration_since(tracked.updated_at);
            if tracked.record.status != MemberStatus::Suspect || waited < policy.suspicion_timeout {
                continue;
            }
            tracked.record.status = MemberStatus::Dead;
            tracked.updated_at = now;
            self.changed_members.insert(name.clone());
        }
        self.others.retain(|_, tracked| {
            let waited = now.saturating_duration_since(tracked.updated_at);
            let dead = tracked.record.status == MemberStatus::Dead;
            // A member that is still listed would be added again as alive.
            !dead || tracked.listed.is_some() || waited < policy.forget_after
        });
        let others = &self.others;
        self.fingerprints
            .retain(|_, name| others.contains_key(name));
    }

    /// Returns dead members that are still listed. They may run on the other side of a network
    /// partition.
    #[must_use]
    pub fn listed_dead_members(&self) -> Vec<InstanceId> {
        let others = self.others.iter();
        let dead = others.filter(|(_, tracked)| {
            tracked.listed.is_some() && tracked.record.status == MemberStatus::Dead
        });
        dead.map(|(name, _)| name.clone()).collect()
    }

    /// Marks this process as leaving, in a record with the next sequence number.
    pub fn leave(&mut self) {
        if self.own.status == MemberStatus::Leaving {
            return;
        }
        self.own.status = MemberStatus::Leaving;
        self.increment_number();
    }

    /// Sets the revision of the configuration in force in this process.
    pub fn set_revision(&mut self, revision: RevisionId) {
        if self.own.config_revision == revision {
            return;
        }
        self.own.config_revision = revision;
        self.revised_members
            .insert(self.own.member.instance.clone());
    }

    /// Applies the revision in force in the member whose record has `fingerprint`; returns whether
    /// `revision` was higher than the known one.
    pub fn apply_revision(&mut self, fingerprint: RecordFingerprint, revision: RevisionId) -> bool {
        let Some(name) = self.fingerprints.get(&fingerprint) else {
            return false;
        };
        let Some(tracked) = self.others.get_mut(name) else {
            return false;
        };
        let record = &mut tracked.record;
        if record.config_revision >= revision || record.fingerprint() != fingerprint {
            return false;
        }
        record.config_revision = revision;
        self.revised_members.insert(name.clone());
        true
    }

    /// Takes the fingerprints of the records whose revision has changed since the last call, by
    /// revision.
    pub fn take_changed_revisions(&mut self) -> BTreeMap<RevisionId, Vec<RecordFingerprint>> {
        let mut revisions: BTreeMap<RevisionId, Vec<RecordFingerprint>> = BTreeMap::new();
        for name in std::mem::take(&mut self.revised_members) {
            let Some(record) = self.record(&name) else {
                continue;
            };
            let same = revisions.entry(record.config_revision).or_default();
            same.push(record.fingerprint());
        }
        revisions
    }

    /// Increments the sequence number of the record of this process, which is then sent to the
    /// neighbours again.
    fn increment_number(&mut self) {
        self.own.number += 1;
        self.changed_members
            .insert(self.own.member.instance.clone());
    }

    /// Whether some changed record has not been taken yet.
    #[must_use]
    pub fn has_changed_records(&self) -> bool {
        !self.changed_members.is_empty()
    }

    /// Takes at most `limit` of the records that have changed since they were last taken.
    pub fn take_changed_records(&mut self, limit: usize) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        while records.len() < limit {
            let Some(name) = self.changed_members.pop_first() else {
                break;
            };
            records.extend(self.record(&name).cloned());
        }
        records
    }

    /// Returns the records to send to a new neighbour in the overlay: this process's first, then
    /// every other one that was announced or is not alive.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.others.values().map(|tracked| &tracked.record);
        let known =
            others.filter(|record| record.number > 0 || record.status != MemberStatus::Alive);
        std::iter::once(&self.own).chain(known)
    }

    /// Returns the record of `instance`, which may be this process.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&MemberRecord> {
        if instance == self.own.member.instance {
            return Some(&self.own);
        }
        self.others.get(instance).map(|tracked| &tracked.record)
    }

    /// Returns all members that this process knows, itself included, sorted by name.
    #[must_use]
    pub fn view(&self) -> MemberView {
        let others = self.others.values().map(TrackedMember::to_member);
        let mut members: Vec<ClusterMember> = others.collect();
        members.push(self.own.to_member());
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
        MemberView { members }
    }

    fn insert(&mut self, record: MemberRecord, listed: Option<ListedAddresses>, now: Instant) {
        let name = record.member.instance.clone();
        if let Some(known) = self.others.get(&name) {
            self.fingerprints.remove(&known.record.fingerprint());
        }
        self.fingerprints.insert(record.fingerprint(), name.clone());
        let tracked = TrackedMember {
            record,
            updated_at: now,
            listed,
        };
        self.others.insert(name, tracked);
    }
}
