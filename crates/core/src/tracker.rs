//! Cluster membership with suspicion and refutation, in the manner of SWIM.
//!
//! Members come from the instance list, which lags behind the cluster, and from the records that
//! processes announce and pass on. Only the process that a record is about raises the record's
//! number. Other processes may change its status to a stronger one under the number that they know;
//! the process refutes them with a record of a higher number.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{IncarnationId, InstanceId, RevisionId};
use crate::member::{ClusterMember, MemberHealth, MemberView};
use crate::rank;

/// Hash of a record's instance, incarnation and number, by which peers refer to the record.
pub type RecordFingerprint = u64;

/// Maximum number of other members that are tracked; further ones are ignored.
pub const MAX_MEMBERS: usize = 8192;

key_type! {
    /// Status of a member. Of two records with the same number, the one with the later variant
    /// supersedes the other.
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
        /// Number that the member gave this record; 0 if only the instance list names the member.
        pub number: u64,
        /// Latest variant of [`MemberStatus`] that is known for `number`.
        pub status: MemberStatus,
        /// Revision of the configuration in force in the member.
        pub config_revision: RevisionId,
    }

    /// Timeouts of a [`MemberTracker`].
    #[derive(Copy)]
    pub struct TrackerPolicy {
        /// Time that a suspect has to refute before it is declared dead.
        pub suspicion_timeout: Duration,
        /// Time after which a dead member that is not listed is forgotten.
        pub forget_after: Duration,
    }
}

impl MemberRecord {
    fn supersedes(&self, other: &Self) -> bool {
        let strength = |record: &Self| (record.number, record.status, record.incarnation);
        strength(self) > strength(other)
    }

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
    wire: SocketAddr,
    http: SocketAddr,
}

#[derive(Clone, Debug)]
struct TrackedMember {
    record: MemberRecord,
    /// When the record was received or its status last changed.
    since: Instant,
    /// `None` if the instance list does not name the member.
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
    /// Members whose record has changed and is to be sent to the neighbours.
    changed_members: BTreeSet<InstanceId>,
    /// Members by the fingerprint of their record.
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

    /// Applies a record from a peer; returns whether it superseded the known one.
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

    /// Refutes a record of this process that supersedes its own, by a number above the record's.
    fn refute(&mut self, record: &MemberRecord) -> bool {
        let own = (self.own.number, self.own.status, self.own.incarnation);
        if (record.number, record.status, record.incarnation) <= own {
            // A peer that suspects this process under an old number lacks its current record.
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

    /// Notes that a connection attempt to `instance` that was started at `began` failed. The member
    /// is suspected unless its record was received or changed status after `began`.
    pub fn connect_failed(&mut self, instance: &str, began: Instant, now: Instant) {
        let tracked = self.others.get(instance);
        if tracked.is_some_and(|tracked| tracked.since <= began) {
            self.link_lost(instance, now);
        }
    }

    /// Notes that the link to `instance` was lost: the member is suspected, or counts as dead if it
    /// was leaving.
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
        tracked.since = now;
        self.changed_members.insert(instance.to_owned());
    }

    /// Declares suspects dead that did not refute in time, and forgets members that have been dead
    /// for long.
    pub fn tick(&mut self, now: Instant) {
        let policy = self.policy;
        for (name, tracked) in &mut self.others {
            let waited = now.saturating_duration_since(tracked.since);
            if tracked.record.status != MemberStatus::Suspect || waited < policy.suspicion_timeout {
                continue;
            }
            tracked.record.status = MemberStatus::Dead;
            tracked.since = now;
            self.changed_members.insert(name.clone());
        }
        self.others.retain(|_, tracked| {
            let waited = now.saturating_duration_since(tracked.since);
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

    /// Marks this process as leaving, in a record with the next number.
    pub fn leave(&mut self) {
        if self.own.status == MemberStatus::Leaving {
            return;
        }
        self.own.status = MemberStatus::Leaving;
        self.raise_number();
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
    /// it was higher than the known one.
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

    /// Raises the number of the own record, which is then passed on again.
    fn raise_number(&mut self) {
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

    /// Returns the records for a new neighbour: this process's first, then every other one that was
    /// announced or is not alive.
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

    /// Returns all members, this process included.
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
            since: now,
            listed,
        };
        self.others.insert(name, tracked);
    }
}
