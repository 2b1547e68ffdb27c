//! The configuration, stored in one row of the table service and changed by compare-and-set.

use std::fmt;

use agatepin_core::config::{
    ChangeOutcome, ChangeRecord, ChangeRequest, ClusterConfig, ConfigError,
};
use agatepin_core::ids::RevisionId;
use agatepin_core::spread::ConfigBlob;
use agatepin_core::value_type;
use bytes::Bytes;
use prost::Message;

use crate::platform::table::{RowExpectation, RowPut, TableError, TableStore};
use crate::rpc;

/// Table that contains all rows of agatepin.
pub const TABLE_NAME: &str = "agatepin";
/// Key of the configuration row.
pub const CONFIG_KEY: &str = "config";

/// Maximum number of attempts of one commit; each reads the row and then writes it.
const MAX_ATTEMPTS: usize = 8;

value_type! {
    /// A committed change.
    pub struct CommittedChange {
        /// True if the action id was committed before this call; the call then changed nothing.
        pub repeated: bool,
        /// Revision that the change created.
        pub revision: RevisionId,
        /// The configuration that is in the row; its revision may be higher than `revision`.
        pub config: ClusterConfig,
    }

    /// Why a change was not committed.
    pub enum CommitError {
        /// The change does not lead to a valid configuration; nothing was changed.
        InvalidChange(Vec<ConfigError>),
        /// The row no longer has the expected revision; nothing was changed.
        RevisionConflict {
            /// Revision that the operator edited.
            expected: RevisionId,
            /// Revision that is in the row.
            current: RevisionId,
            /// The first change after `expected`; `None` if the row no longer lists that change.
            conflicting: Option<ChangeRecord>,
        },
        /// The table service is not available, or no attempt to write the row succeeded; nothing
        /// was changed.
        Unavailable(String),
        /// A write was sent but its outcome is unknown: the change may be committed.
        Unknown(String),
        /// The row cannot be decoded, or the service refused the request; nothing was changed.
        UnusableRow(String),
    }
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidChange(errors) => {
                for (index, err) in errors.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "; " };
                    write!(f, "{separator}{err}")?;
                }
                Ok(())
            }
            Self::RevisionConflict {
                expected,
                current,
                conflicting,
            } => {
                write!(
                    f,
                    "revision {expected} was edited, but revision {current} is current"
                )?;
                match conflicting {
                    Some(record) => write!(
                        f,
                        ": \"{}\" committed \"{}\" (action \"{}\"); nothing was changed",
                        record.operator, record.summary, record.action_id
                    ),
                    None => f.write_str("; nothing was changed"),
                }
            }
            Self::Unavailable(reason) => {
                write!(f, "nothing was changed: {reason}")
            }
            Self::Unknown(reason) => write!(
                f,
                "outcome not known, repeat with the same action id: {reason}"
            ),
            Self::UnusableRow(reason) => write!(f, "nothing was changed: {reason}"),
        }
    }
}

impl std::error::Error for CommitError {}

/// Encodes `config` for the row and for peers. The encoding is deterministic: equal configurations
/// give equal bytes, so that digests can be compared.
#[must_use]
pub fn encode(config: &ClusterConfig) -> ConfigBlob {
    let body = rpc::ClusterConfig::from(config).encode_to_vec();
    ConfigBlob::new(config.revision, body.into())
}

/// Decodes a configuration from a row or from a peer's frame.
///
/// # Errors
/// The body is not a configuration message, or a field is invalid; the text lists all such fields.
pub fn decode(body: Bytes) -> Result<ClusterConfig, String> {
    let message = rpc::ClusterConfig::decode(body).map_err(|err| err.to_string())?;
    ClusterConfig::try_from(message).map_err(|errors| {
        let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
        texts.join("; ")
    })
}

/// Reads and changes the configuration row.
#[derive(Clone, Debug)]
pub struct ConfigStore<Store> {
    /// Table service that contains the row.
    table: Store,
}

impl<Store> ConfigStore<Store>
where
    Store: TableStore,
{
    /// Creates a store for the configuration row of `table`.
    #[must_use]
    pub fn new(table: Store) -> Self {
        Self { table }
    }

    /// Reads the configuration; `None` if none has been committed.
    ///
    /// # Errors
    /// The table cannot be read, or the row cannot be decoded.
    pub async fn read(&self) -> Result<Option<ClusterConfig>, TableError> {
        let Some(row) = self.table.get(TABLE_NAME, CONFIG_KEY).await? else {
            return Ok(None);
        };
        let config = decode(row.value)
            .map_err(|reason| TableError::Refused(format!("configuration row: {reason}")))?;
        if config.revision != row.version {
            let message = format!(
                "configuration row has version {} and revision {}",
                row.version, config.revision
            );
            return Err(TableError::Refused(message));
        }
        Ok(Some(config))
    }

    /// Commits `request`, once for each action id: if the configuration lists the id among its
    /// recent changes, nothing is written. The current revision must be `expected`, unless that
    /// is 0.
    ///
    /// # Errors
    /// The change is not committed, or it is unknown whether it is; see [`CommitError`].
    pub async fn commit(
        &self,
        request: &ChangeRequest,
        expected: RevisionId,
    ) -> Result<CommittedChange, CommitError> {
        // Revision that the row must have for an earlier write of this commit, whose outcome is
        // unknown, to take effect; `None` if there is no such write.
        let mut unconfirmed_base: Option<RevisionId> = None;
        for _ in 0..MAX_ATTEMPTS {
            let current = self
                .read()
                .await
                .map_err(|err| commit_error(&err, unconfirmed_base.is_some()))?
                .unwrap_or_default();
            if let Some(record) = current.find_action(&request.action_id) {
                return Ok(CommittedChange {
                    repeated: unconfirmed_base.is_none(),
                    revision: record.revision,
                    config: current.clone(),
                });
            }
            // If another write has changed the row, the condition of the unconfirmed write can no
            // longer match, so that write can no longer take effect.
            unconfirmed_base = unconfirmed_base.filter(|base| *base == current.revision);
            check_expected(&current, expected)?;
            let next = next_config(&current, request)?;
            match self.write(&current, &next).await {
                Ok(()) => {
                    return Ok(CommittedChange {
                        repeated: false,
                        revision: next.revision,
                        config: next,
                    });
                }
                Err(TableError::Conflict(_)) => (),
                Err(TableError::Unknown(_)) => unconfirmed_base = Some(current.revision),
                Err(err) => return Err(commit_error(&err, unconfirmed_base.is_some())),
            }
        }
        let reason = format!("gave up after {MAX_ATTEMPTS} attempts");
        Err(commit_error(
            &TableError::Unavailable(reason),
            unconfirmed_base.is_some(),
        ))
    }

    async fn write(&self, current: &ClusterConfig, next: &ClusterConfig) -> Result<(), TableError> {
        let expect = match current.revision {
            0 => RowExpectation::Absent,
            revision => RowExpectation::Version(revision),
        };
        let put = RowPut {
            table: TABLE_NAME.to_owned(),
            key: CONFIG_KEY.to_owned(),
            value: encode(next).body,
            expect,
            new_version: next.revision,
        };
        self.table.transact(vec![put]).await
    }
}

fn check_expected(current: &ClusterConfig, expected: RevisionId) -> Result<(), CommitError> {
    if expected == 0 || expected == current.revision {
        return Ok(());
    }
    let mut records = current.recent.iter();
    let conflicting = records.find(|record| record.revision > expected).cloned();
    Err(CommitError::RevisionConflict {
        expected,
        current: current.revision,
        conflicting,
    })
}

fn next_config(
    current: &ClusterConfig,
    request: &ChangeRequest,
) -> Result<ClusterConfig, CommitError> {
    match current.apply(request).map_err(CommitError::InvalidChange)? {
        ChangeOutcome::Changed(next) => Ok(*next),
        ChangeOutcome::Repeated(_) => Ok(current.clone()),
    }
}

/// Converts an error of the table service; `unconfirmed` tells whether an earlier write of the same
/// commit may have taken effect.
fn commit_error(err: &TableError, unconfirmed: bool) -> CommitError {
    let reason = err.to_string();
    if unconfirmed {
        return CommitError::Unknown(reason);
    }
    match err {
        TableError::Refused(_) => CommitError::UnusableRow(reason),
        _ => CommitError::Unavailable(reason),
    }
}
