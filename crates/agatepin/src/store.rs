//! The configuration row in the table service, changed by compare-and-set.

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

/// Table that holds the rows of agatepin.
pub const TABLE_NAME: &str = "agatepin";
/// Key of the configuration row.
pub const CONFIG_KEY: &str = "config";

const MAX_ATTEMPTS: usize = 8;

value_type! {
    /// A committed change.
    pub struct CommittedChange {
        /// The action id had been committed before this call.
        pub repeated: bool,
        /// Revision that the change made.
        pub revision: RevisionId,
        /// The configuration in the row now; its revision may be higher.
        pub config: ClusterConfig,
    }

    /// Why a change was not committed.
    pub enum CommitError {
        /// The change is wrong.
        InvalidChange(Vec<ConfigError>),
        /// Another change came first; nothing was changed.
        RevisionConflict {
            /// Revision that the operator edited.
            expected: RevisionId,
            /// Revision in the row.
            current: RevisionId,
            /// The change that came first, if it is still remembered.
            conflicting: Option<ChangeRecord>,
        },
        /// The table service is not available; nothing was changed.
        Unavailable(String),
        /// The change may or may not be committed.
        Unknown(String),
        /// The row cannot be used; nothing was changed.
        Row(String),
    }
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidChange(faults) => {
                for (index, fault) in faults.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "; " };
                    write!(f, "{separator}{fault}")?;
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
            Self::Row(reason) => write!(f, "nothing was changed: {reason}"),
        }
    }
}

impl std::error::Error for CommitError {}

/// Encodes `config` for the row and for peers; equal configurations give equal bytes.
#[must_use]
pub fn encode(config: &ClusterConfig) -> ConfigBlob {
    let body = rpc::ClusterConfig::from(config).encode_to_vec();
    ConfigBlob::new(config.revision, body.into())
}

/// Decodes the body of a row or of a peer's frame.
///
/// # Errors
/// What is wrong with the body.
pub fn decode(body: Bytes) -> Result<ClusterConfig, String> {
    let message = rpc::ClusterConfig::decode(body).map_err(|err| err.to_string())?;
    ClusterConfig::try_from(message).map_err(|faults| {
        let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
        texts.join("; ")
    })
}

/// The configuration row.
#[derive(Clone, Debug)]
pub struct ConfigStore<Store> {
    table: Store,
}

impl<Store> ConfigStore<Store>
where
    Store: TableStore,
{
    /// The row in `table`.
    #[must_use]
    pub fn new(table: Store) -> Self {
        Self { table }
    }

    /// Reads the row; `None` where nothing has been committed.
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

    /// Commits `request`. An `expected` revision other than 0 must be the current one.
    ///
    /// # Errors
    /// The change is not committed, or may not be; the error says which.
    pub async fn commit(
        &self,
        request: &ChangeRequest,
        expected: RevisionId,
    ) -> Result<CommittedChange, CommitError> {
        // Revision on top of which a write was sent whose answer is lost.
        let mut doubt: Option<RevisionId> = None;
        for _ in 0..MAX_ATTEMPTS {
            let current = self
                .read()
                .await
                .map_err(|err| read_error(&err, doubt.is_some()))?
                .unwrap_or_default();
            if let Some(record) = current.find_action(&request.action_id) {
                return Ok(CommittedChange {
                    repeated: doubt.is_none(),
                    revision: record.revision,
                    config: current.clone(),
                });
            }
            // The row has moved on without our write, which can no longer match.
            doubt = doubt.filter(|base| *base == current.revision);
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
                Err(TableError::Unknown(_)) => doubt = Some(current.revision),
                Err(err) => return Err(read_error(&err, doubt.is_some())),
            }
        }
        let reason = format!("gave up after {MAX_ATTEMPTS} attempts");
        Err(read_error(
            &TableError::Unavailable(reason),
            doubt.is_some(),
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
    let mut later = current.recent.iter();
    let conflicting = later.find(|record| record.revision > expected).cloned();
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

fn read_error(err: &TableError, in_doubt: bool) -> CommitError {
    let reason = err.to_string();
    if in_doubt {
        return CommitError::Unknown(reason);
    }
    match err {
        TableError::Refused(_) => CommitError::Row(reason),
        _ => CommitError::Unavailable(reason),
    }
}
