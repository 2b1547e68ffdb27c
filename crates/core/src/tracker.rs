//! Tracks the members: the lagging list, suspicion and its refutation.
//!
//! A record is numbered by the process that it is about. Others may only raise its status under
//! the number that they know; the process refutes by a higher number.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{IncarnationId, InstanceId, RevisionId};
use crate::member::{ClusterMember, MemberHealth, MemberView};
use crate::rank;

/// Names a record in few bytes.
pub type RecordFingerprint = u64;

/// Most members that are tracked.
pub const MAX_MEMBERS: usize = 8192;

key_type! {
    /// Status of a member, the stronger the later.
    pub enum MemberStatus {
        /// It answers.
        Alive,
        /// A neighbour misses it.
        Suspect,
        /// It has announced that it leaves.
        Leaving,
        /// It did not refute in time, or it has left.
        Dead,
    }
}

value_type! {
    /// What is known of one member.
    pub struct MemberRecord {
        /// The member. Its health and `leaving` follow from `status`.
        pub member: ClusterMember,
        /// Incarnation; 0 where only the list names it.
        pub incarnation: IncarnationId,
        /// Number that the member gave this record; 0 where only the list names it.
        pub number: u64,
        /// Status.
        pub status: MemberStatus,
        /// Revision in force in the member.
        pub config_revision: RevisionId,
    }

    /// Times of a tracker.
    #[derive(Copy)]
    pub struct TrackerPolicy {
        /// Time that a suspect has to refute.
        pub suspicion_timeout: Duration,
        /// Time after which a dead member is forgotten.
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

    /// Names the record in few bytes: the member, its incarnation and the number.
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

/// Addresses that the list gives for a member.
#[derive(Clone, Copy, Debug)]
struct ListedAddresses {
    wire: SocketAddr,
    http: SocketAddr,
}

#[derive(Clone, Debug)]
struct TrackedMember {
    record: MemberRecord,
    since: Instant,
    /// `None` where the list does not name it.
    listed: Option<ListedAddresses>,
}

impl TrackedMember {
    /// The member at its listed addresses, which may differ from those that it announced.
    fn to_member(&self) -> ClusterMember {
        let mut member = self.record.to_member();
        if let Some(listed) = self.listed {
            member.wire = listed.wire;
            member.http = listed.http;
        }
        member
    }
}

/// The members as one process knows them.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    own: MemberRecord,
    policy: TrackerPolicy,
    others: BTreeMap<InstanceId, TrackedMember>,
    news: BTreeSet<InstanceId>,
    fingerprints: HashMap<RecordFingerprint, InstanceId>,
    /// Members whose revision in force is to be passed on.
    revised: BTreeSet<InstanceId>,
}

impl MemberTracker {
    /// A tracker of the process that `own` describes.
    #[must_use]
    pub fn new(own: MemberRecord, policy: TrackerPolicy) -> Self {
        let news = BTreeSet::from([own.member.instance.clone()]);
        Self {
            own,
            policy,
            others: BTreeMap::new(),
            news,
            fingerprints: HashMap::new(),
            revised: BTreeSet::new(),
        }
    }

    /// Record of this process.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Takes the instance list.
    pub fn listed(&mut self, list: Vec<ClusterMember>, now: Instant) {
        for tracked in self.others.values_mut() {
            tracked.listed = None;
        }
        for member in list {
            self.list_one(member, now);
        }
        // A member that only the list named goes with the list's entry.
        self.others
            .retain(|_, tracked| tracked.listed.is_some() || tracked.record.number > 0);
    }

    fn list_one(&mut self, member: ClusterMember, now: Instant) {
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

    /// Takes a record from a peer and says whether it was news.
    pub fn apply_record(&mut self, mut record: MemberRecord, now: Instant) -> bool {
        if record.member.instance == self.own.member.instance {
            return self.refute(&record);
        }
        let name = &record.member.instance;
        match self.others.get(name) {
            Some(tracked) if !record.supersedes(&tracked.record) => return false,
            None if self.others.len() >= MAX_MEMBERS => return false,
            // A dead member that we have forgotten is no news.
            None if record.status == MemberStatus::Dead => return false,
            _ => (),
        }
        let known = self.others.get(name);
        let listed = known.and_then(|known| known.listed);
        if let Some(known) = known.filter(|known| known.record.is_numbered_as(&record)) {
            let revision = known.record.config_revision;
            record.config_revision = record.config_revision.max(revision);
        }
        self.news.insert(name.clone());
        self.insert(record, listed, now);
        true
    }

    /// Raises our number above a record about us that is not ours.
    fn refute(&mut self, record: &MemberRecord) -> bool {
        let ours = (self.own.number, self.own.status, self.own.incarnation);
        if (record.number, record.status, record.incarnation) <= ours {
            // Who doubts us under an old number has missed our record.
            if matches!(record.status, MemberStatus::Suspect | MemberStatus::Dead) {
                self.news.insert(self.own.member.instance.clone());
            }
            return false;
        }
        self.own.number = record.number.saturating_add(1);
        self.news.insert(self.own.member.instance.clone());
        true
    }

    /// Suspects a neighbour that could not be reached since `began`, unless it was heard of since.
    pub fn connect_failed(&mut self, instance: &str, began: Instant, now: Instant) {
        let tracked = self.others.get(instance);
        if tracked.is_some_and(|tracked| tracked.since <= began) {
            self.link_lost(instance, now);
        }
    }

    /// Suspects a neighbour whose link was lost.
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
        self.news.insert(instance.to_owned());
    }

    /// Declares suspects dead that did not refute, and forgets the dead.
    pub fn tick(&mut self, now: Instant) {
        let policy = self.policy;
        for (name, tracked) in &mut self.others {
            let waited = now.saturating_duration_since(tracked.since);
            if tracked.record.status != MemberStatus::Suspect || waited < policy.suspicion_timeout {
                continue;
            }
            tracked.record.status = MemberStatus::Dead;
            tracked.since = now;
            self.news.insert(name.clone());
        }
        self.others.retain(|_, tracked| {
            let waited = now.saturating_duration_since(tracked.since);
            let dead = tracked.record.status == MemberStatus::Dead;
            // A member that the list still names would come back as alive.
            !dead || tracked.listed.is_some() || waited < policy.forget_after
        });
        let others = &self.others;
        self.fingerprints
            .retain(|_, name| others.contains_key(name));
    }

    /// Dead members that the list still names: they may have been cut off.
    #[must_use]
    pub fn listed_dead_members(&self) -> Vec<InstanceId> {
        let others = self.others.iter();
        let lost = others.filter(|(_, tracked)| {
            tracked.listed.is_some() && tracked.record.status == MemberStatus::Dead
        });
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// Announces that this process leaves.
    pub fn leave(&mut self) {
        if self.own.status == MemberStatus::Leaving {
            return;
        }
        self.own.status = MemberStatus::Leaving;
        self.renumber();
    }

    /// Announces the revision in force here.
    pub fn set_revision(&mut self, revision: RevisionId) {
        if self.own.config_revision == revision {
            return;
        }
        self.own.config_revision = revision;
        self.revised.insert(self.own.member.instance.clone());
    }

    /// Takes the revision in force in the member whose record has `fingerprint`, and says whether
    /// it was news.
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
        self.revised.insert(name.clone());
        true
    }

    /// Takes the fingerprints of the records whose revision changed since they were taken last.
    pub fn take_changed_revisions(&mut self) -> BTreeMap<RevisionId, Vec<RecordFingerprint>> {
        let mut revisions: BTreeMap<RevisionId, Vec<RecordFingerprint>> = BTreeMap::new();
        for name in std::mem::take(&mut self.revised) {
            let Some(record) = self.record(&name) else {
                continue;
            };
            let same = revisions.entry(record.config_revision).or_default();
            same.push(record.fingerprint());
        }
        revisions
    }

    fn renumber(&mut self) {
        self.own.number += 1;
        self.news.insert(self.own.member.instance.clone());
    }

    /// Whether some record has changed since the news were taken last.
    #[must_use]
    pub fn has_changed_records(&self) -> bool {
        !self.news.is_empty()
    }

    /// Takes at most `limit` records that changed since they were taken last.
    pub fn take_changed_records(&mut self, limit: usize) -> Vec<MemberRecord> {
        let mut records = Vec::new();
        while records.len() < limit {
            let Some(name) = self.news.pop_first() else {
                break;
            };
            records.extend(self.record(&name).cloned());
        }
        records
    }

    /// Every record that some process announced, for a new neighbour; our own is first.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let others = self.others.values().map(|tracked| &tracked.record);
        let known =
            others.filter(|record| record.number > 0 || record.status != MemberStatus::Alive);
        std::iter::once(&self.own).chain(known)
    }

    /// The record of `instance`.
    #[must_use]
    pub fn record(&self, instance: &str) -> Option<&MemberRecord> {
        if instance == self.own.member.instance {
            return Some(&self.own);
        }
        self.others.get(instance).map(|tracked| &tracked.record)
    }

    /// The view for the rest of the process.
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
