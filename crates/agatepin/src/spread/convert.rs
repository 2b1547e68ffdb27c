//! Conversions between member records of the core crate and of the wire protocol.

use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole};
use agatepin_core::tracker::{MemberRecord, MemberStatus};

use crate::wire::frames::{self, ProcessRole};

impl From<MemberRole> for ProcessRole {
    fn from(role: MemberRole) -> Self {
        match role {
            MemberRole::Entry => Self::Entry,
            MemberRole::Agent => Self::Agent,
        }
    }
}

impl From<MemberStatus> for frames::MemberStatus {
    fn from(status: MemberStatus) -> Self {
        match status {
            MemberStatus::Alive => Self::Alive,
            MemberStatus::Suspect => Self::Suspect,
            MemberStatus::Leaving => Self::Leaving,
            MemberStatus::Dead => Self::Dead,
        }
    }
}

impl From<&MemberRecord> for frames::MemberRecord {
    fn from(record: &MemberRecord) -> Self {
        let member = &record.member;
        Self {
            instance: member.instance.clone(),
            role: ProcessRole::from(member.role).into(),
            incarnation: record.incarnation,
            number: record.number,
            status: frames::MemberStatus::from(record.status).into(),
            config_revision: record.config_revision,
            data_centre: member.data_centre.clone(),
            wire: member.wire.to_string(),
            http: member.http.to_string(),
            upstream: member.upstream.clone().unwrap_or_default(),
        }
    }
}

/// Converts the role of a process; `None` if the frame does not specify the role.
pub(super) fn member_role(role: ProcessRole) -> Option<MemberRole> {
    match role {
        ProcessRole::Entry => Some(MemberRole::Entry),
        ProcessRole::Agent => Some(MemberRole::Agent),
        ProcessRole::Unspecified => None,
    }
}

/// Converts a received record; `None` if an address, the role or the status is malformed.
pub(super) fn read_record(frame: frames::MemberRecord) -> Option<MemberRecord> {
    let role = member_role(frame.role())?;
    let status = match frame.status() {
        frames::MemberStatus::Alive => MemberStatus::Alive,
        frames::MemberStatus::Suspect => MemberStatus::Suspect,
        frames::MemberStatus::Leaving => MemberStatus::Leaving,
        frames::MemberStatus::Dead => MemberStatus::Dead,
        frames::MemberStatus::Unspecified => return None,
    };
    let member = ClusterMember {
        wire: frame.wire.parse().ok()?,
        http: frame.http.parse().ok()?,
        instance: frame.instance,
        role,
        data_centre: frame.data_centre,
        upstream: Some(frame.upstream).filter(|name| !name.is_empty()),
        leaving: false,
        health: MemberHealth::Alive,
    };
    Some(MemberRecord {
        member,
        incarnation: frame.incarnation,
        number: frame.number,
        status,
        config_revision: frame.config_revision,
    })
}
