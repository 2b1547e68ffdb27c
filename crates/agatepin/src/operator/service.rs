//! Implementation of the operator RPC service.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use agatepin_core::config::{ChangeRequest, ClusterConfig, ConfigChange};
use agatepin_core::ids::RevisionId;
use tokio::sync::Semaphore;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

use super::check::{check_action, invalid_argument, unknown_model};
use super::{EntryReporter, OperatorDependencies, status, watch};
use crate::platform::table::TableStore;
use crate::rpc;
use crate::rpc::operator_server::Operator;
use crate::store::CommitError;

type Reply<Message> = Result<Response<Message>, Status>;

/// Operator RPC service of one entry.
#[derive(Debug)]
pub(super) struct OperatorService<Store, Reporter> {
    dependencies: OperatorDependencies<Store, Reporter>,
    /// Permits for open `watch_model` streams, one for each stream; there are
    /// [`OperatorSettings::max_watches`](crate::settings::OperatorSettings::max_watches).
    watch_permits: Arc<Semaphore>,
}

impl<Store, Reporter> OperatorService<Store, Reporter>
where
    Store: TableStore,
    Reporter: EntryReporter,
{
    pub(super) fn new(dependencies: OperatorDependencies<Store, Reporter>) -> Self {
        let watch_permits = Arc::new(Semaphore::new(dependencies.settings.max_watches));
        Self {
            dependencies,
            watch_permits,
        }
    }

    /// Commits `change` and puts the new configuration in force in this entry. `expected` is the
    /// revision that the operator edited, which must still be the current one; 0 accepts any.
    /// Changes with the same `action_id` take effect once.
    async fn commit(
        &self,
        action_id: String,
        operator: String,
        change: ConfigChange,
        expected: RevisionId,
    ) -> Reply<rpc::ChangeReply> {
        check_action(&action_id, &operator)?;
        let request = ChangeRequest {
            action_id,
            operator,
            unix_millis: unix_millis(),
            change,
        };
        let committed = self
            .dependencies
            .store
            .commit(&request, expected)
            .await
            .map_err(|err| commit_status(&err))?;
        self.dependencies
            .spread
            .put_in_force(committed.config)
            .await;
        Ok(Response::new(rpc::ChangeReply {
            revision: committed.revision,
            repeated: committed.repeated,
        }))
    }
}

#[tonic::async_trait]
impl<Store, Reporter> Operator for OperatorService<Store, Reporter>
where
    Store: TableStore,
    Reporter: EntryReporter,
{
    type WatchModelStream = ReceiverStream<Result<rpc::ModelStatus, Status>>;

    async fn apply(&self, request: Request<rpc::ApplyRequest>) -> Reply<rpc::ChangeReply> {
        let request = request.into_inner();
        let Some(message) = request.config else {
            return Err(Status::invalid_argument("config: is missing"));
        };
        let document =
            ClusterConfig::try_from(message).map_err(|errors| invalid_argument(&errors))?;
        let change = ConfigChange::Replace(Box::new(document));
        self.commit(
            request.action_id,
            request.operator,
            change,
            request.expected_revision,
        )
        .await
    }

    async fn set_data_centre(
        &self,
        request: Request<rpc::SetDataCentreRequest>,
    ) -> Reply<rpc::ChangeReply> {
        let request = request.into_inner();
        let change = ConfigChange::SetDataCentre {
            name: request.name,
            out: request.out,
        };
        self.commit(request.action_id, request.operator, change, 0)
            .await
    }

    async fn deploy_model(
        &self,
        request: Request<rpc::DeployModelRequest>,
    ) -> Reply<rpc::ChangeReply> {
        let request = request.into_inner();
        let change = ConfigChange::Deploy {
            model: request.model,
            version: request.version,
            replicas: Some(request.replicas).filter(|replicas| *replicas > 0),
        };
        self.commit(request.action_id, request.operator, change, 0)
            .await
    }

    async fn show(&self, _: Request<rpc::ShowRequest>) -> Reply<rpc::ShowReply> {
        let config = self.dependencies.spread.config.borrow().clone();
        Ok(Response::new(rpc::ShowReply {
            config: Some(config.as_ref().into()),
        }))
    }

    async fn history(&self, _: Request<rpc::HistoryRequest>) -> Reply<rpc::HistoryReply> {
        let config = self.dependencies.spread.config.borrow().clone();
        Ok(Response::new(rpc::HistoryReply {
            changes: config.recent.iter().map(Into::into).collect(),
        }))
    }

    async fn status(&self, _: Request<rpc::StatusRequest>) -> Reply<rpc::StatusReply> {
        Ok(Response::new(status::read(&self.dependencies)))
    }

    async fn watch_model(
        &self,
        request: Request<rpc::WatchModelRequest>,
    ) -> Reply<Self::WatchModelStream> {
        let model = request.into_inner().model;
        let config = self.dependencies.spread.config.borrow().clone();
        if !config.models.contains_key(&model) {
            return Err(unknown_model(&model));
        }
        let Ok(permit) = self.watch_permits.clone().try_acquire_owned() else {
            let limit = self.dependencies.settings.max_watches;
            let message = format!("{limit} watches are open at this entry already");
            return Err(Status::resource_exhausted(message));
        };
        let stream = watch::start(
            model,
            self.dependencies.directory.clone(),
            self.dependencies.spread.config.clone(),
            self.dependencies.stopped.clone(),
            permit,
        );
        Ok(Response::new(stream))
    }

    async fn dump(&self, _: Request<rpc::DumpRequest>) -> Reply<rpc::DumpReply> {
        let state = serde_json::json!({
            "spread": self.dependencies.spread.dump(),
            "entry": self.dependencies.reporter.dump(),
        });
        Ok(Response::new(rpc::DumpReply {
            json: state.to_string(),
        }))
    }
}

fn commit_status(err: &CommitError) -> Status {
    let message = err.to_string();
    match err {
        CommitError::InvalidChange(_) => Status::invalid_argument(message),
        CommitError::RevisionConflict { .. } => Status::aborted(message),
        CommitError::Unavailable(_) => Status::unavailable(message),
        CommitError::Unknown(_) => Status::unknown(message),
        CommitError::UnusableRow(_) => Status::failed_precondition(message),
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
