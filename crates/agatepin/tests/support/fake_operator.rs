//! An operator API server that answers every change in the same way.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, mpsc};

use agatepin::rpc::operator_server::{Operator, OperatorServer};
use agatepin::rpc::{
    ApplyRequest, ChangeRecord, ChangeReply, ClusterConfig, CustomerSpec, DataCentreSpec,
    DeployModelRequest, DumpReply, DumpRequest, HistoryReply, HistoryRequest, ModelStatus,
    ProcessStatus, RefusalCount, SetDataCentreRequest, ShowReply, ShowRequest, StatusReply,
    StatusRequest, WatchModelRequest,
};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Code, Request, Response, Status};

/// How the server answers changes of the configuration.
#[derive(Clone, Copy, Debug)]
pub enum FakeAnswer {
    /// Reports each change as committed.
    Accept,
    /// Refuses each change with this status code.
    Refuse(Code),
    /// Records each change and never answers.
    Hang,
}

/// The server; clones share the received changes.
#[derive(Clone, Debug)]
pub struct FakeOperator {
    answer: FakeAnswer,
    /// Action id, operator and `authorization` header of each received change.
    pub changes: Arc<Mutex<Vec<(String, String, String)>>>,
}

impl FakeOperator {
    /// Starts a server in a thread of its own; returns it with its address.
    pub fn start(answer: FakeAnswer) -> (Self, SocketAddr) {
        let operator = Self {
            answer,
            changes: Arc::default(),
        };
        let service = OperatorServer::new(operator.clone());
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                sender.send(listener.local_addr().unwrap()).unwrap();
                tonic::transport::Server::builder()
                    .add_service(service)
                    .serve_with_incoming(TcpListenerStream::new(listener))
                    .await
                    .unwrap();
            });
        });
        (operator, receiver.recv().unwrap())
    }

    /// Records a change and answers as configured.
    async fn change<Message>(
        &self,
        request: &Request<Message>,
        action_id: &str,
        operator: &str,
    ) -> Result<Response<ChangeReply>, Status> {
        let token = request.metadata().get("authorization");
        let token = token.map(|token| token.to_str().unwrap().to_owned());
        self.changes.lock().unwrap().push((
            action_id.to_owned(),
            operator.to_owned(),
            token.unwrap_or_default(),
        ));
        match self.answer {
            FakeAnswer::Accept => Ok(Response::new(ChangeReply {
                revision: 8,
                repeated: false,
            })),
            FakeAnswer::Refuse(code) => Err(Status::new(code, "model \"x\" is refused")),
            FakeAnswer::Hang => std::future::pending().await,
        }
    }
}

#[tonic::async_trait]
impl Operator for FakeOperator {
    type WatchModelStream = tokio_stream::Iter<std::vec::IntoIter<Result<ModelStatus, Status>>>;

    async fn apply(&self, request: Request<ApplyRequest>) -> Result<Response<ChangeReply>, Status> {
        let message = request.get_ref();
        self.change(&request, &message.action_id, &message.operator)
            .await
    }

    async fn set_data_centre(
        &self,
        request: Request<SetDataCentreRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let message = request.get_ref();
        self.change(&request, &message.action_id, &message.operator)
            .await
    }

    async fn deploy_model(
        &self,
        request: Request<DeployModelRequest>,
    ) -> Result<Response<ChangeReply>, Status> {
        let message = request.get_ref();
        self.change(&request, &message.action_id, &message.operator)
            .await
    }

    async fn show(&self, _request: Request<ShowRequest>) -> Result<Response<ShowReply>, Status> {
        let customer = CustomerSpec {
            name: "quillmark".into(),
            weight: 3,
            ..CustomerSpec::default()
        };
        let config = ClusterConfig {
            revision: 8,
            customers: vec![customer],
            ..ClusterConfig::default()
        };
        Ok(Response::new(ShowReply {
            config: Some(config),
        }))
    }

    async fn history(
        &self,
        _request: Request<HistoryRequest>,
    ) -> Result<Response<HistoryReply>, Status> {
        let record = ChangeRecord {
            revision: 8,
            action_id: "a-8".into(),
            operator: "ada".into(),
            summary: "apply document".into(),
            unix_millis: 5,
        };
        Ok(Response::new(HistoryReply {
            changes: vec![record],
        }))
    }

    async fn status(
        &self,
        _request: Request<StatusRequest>,
    ) -> Result<Response<StatusReply>, Status> {
        let centre = DataCentreSpec {
            name: "boston-a".into(),
            region: "new-england".into(),
            out: true,
        };
        let process = ProcessStatus {
            instance: "a1".into(),
            upstream: "press-1".into(),
            config_revision: 7,
            cold: true,
            leaving: true,
            ..ProcessStatus::default()
        };
        let refusal = RefusalCount {
            reason: "cold-full".into(),
            customer: "quillmark".into(),
            count: 5,
        };
        Ok(Response::new(StatusReply {
            revision: 8,
            data_centres: vec![centre],
            processes: vec![process],
            refusals: vec![refusal],
        }))
    }

    async fn watch_model(
        &self,
        request: Request<WatchModelRequest>,
    ) -> Result<Response<Self::WatchModelStream>, Status> {
        let model = request.into_inner().model;
        let states: Vec<_> = (0..=2)
            .map(|serving| {
                Ok(ModelStatus {
                    model: model.clone(),
                    version: "v2".into(),
                    wanted: 2,
                    serving,
                    ..ModelStatus::default()
                })
            })
            .collect();
        Ok(Response::new(tokio_stream::iter(states)))
    }

    async fn dump(&self, _request: Request<DumpRequest>) -> Result<Response<DumpReply>, Status> {
        Ok(Response::new(DumpReply::default()))
    }
}
