//! Tests of the operator RPC service over a network connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatepin::entry::directory::AgentDirectory;
use agatepin::operator::{self, EntryReporter, OperatorDependencies};
use agatepin::rpc;
use agatepin::rpc::operator_client::OperatorClient;
use agatepin::settings::{OperatorSettings, OperatorTls};
use agatepin::store::ConfigStore;
use agatepin::wire::frames::{AgentState, GateState};
use assert_cmd::Command;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request};

use crate::certificates::TestAuthority;
use crate::spread::{bind, reply, serve_reply, start};
use crate::table::MemoryTable;

/// Time limit of each wait for the entry or the command.
const DEADLINE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bearer token of the operator RPC service.
const TOKEN: &str = "0123456789abcdef";

/// Source of the entry's reports for the RPC service: one refusal count and a constant dump.
#[derive(Clone)]
struct FixedReporter;

impl EntryReporter for FixedReporter {
    fn refusals(&self) -> Vec<rpc::RefusalCount> {
        vec![rpc::RefusalCount {
            reason: "full".to_owned(),
            customer: "press".to_owned(),
            count: 7,
        }]
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "waiting": 3 })
    }
}

/// Serves the operator RPC service on `table` and returns a client that is connected to it.
async fn serve(table: MemoryTable) -> OperatorClient<Channel> {
    serve_directory(table, AgentDirectory::default()).await
}

async fn serve_directory(table: MemoryTable, directory: AgentDirectory) -> OperatorClient<Channel> {
    let address = serve_with(table, directory, None, 8).await;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("address");
    OperatorClient::new(endpoint.connect().await.expect("connect"))
}

/// Serves the operator RPC service with at most `max_watches` concurrent watches of a model, over
/// TLS if `tls` is given. Returns its address.
async fn serve_with(
    table: MemoryTable,
    directory: AgentDirectory,
    tls: Option<OperatorTls>,
    max_watches: usize,
) -> SocketAddr {
    let list = serve_reply(reply("200 OK", r#"{"instances":[]}"#)).await;
    let process = start("e1", bind().await.0, &list, table.clone());
    let (listener, address) = bind().await;
    let parts = OperatorDependencies {
        store: ConfigStore::new(table),
        spread: process.handle,
        directory,
        settings: OperatorSettings {
            address,
            token: Some(TOKEN.to_owned()),
            allow_plain: false,
            tls,
            max_connections: 4,
            max_watches,
        },
        reporter: FixedReporter,
        stopped: process.stopped,
    };
    tokio::spawn(operator::serve(listener, parts));
    address
}

fn with_token<Message>(message: Message, token: &str) -> Request<Message> {
    let mut request = Request::new(message);
    let value = format!("Bearer {token}").parse().expect("token");
    request.metadata_mut().insert("authorization", value);
    request
}

fn apply(action_id: &str) -> rpc::ApplyRequest {
    rpc::ApplyRequest {
        action_id: action_id.to_owned(),
        operator: "kim".to_owned(),
        config: Some(rpc::ClusterConfig::default()),
        expected_revision: 0,
    }
}

#[actix_rt::test]
async fn requests_report_errors_and_repeated_changes() {
    let table = MemoryTable::default();
    let mut client = serve(table.clone()).await;
    for request in [
        Request::new(apply("one")),
        with_token(apply("one"), "wrong"),
    ] {
        let status = client.apply(request).await.expect_err("token");
        assert_eq!(status.code(), Code::Unauthenticated);
    }
    let status = client.apply(with_token(apply(""), TOKEN)).await;
    let status = status.expect_err("action id");
    assert_eq!(status.code(), Code::InvalidArgument);
    assert!(status.message().starts_with("action_id: "));
    for repeated in [false, true] {
        let reply = client.apply(with_token(apply("one"), TOKEN)).await;
        let reply = reply.expect("apply").into_inner();
        assert_eq!((reply.revision, reply.repeated), (1, repeated));
    }
    let model = "press".to_owned();
    let watch = with_token(rpc::WatchModelRequest { model }, TOKEN);
    let status = client.watch_model(watch).await.expect_err("model");
    assert_eq!(status.message(), "model \"press\" does not exist");
    table.set_down(true);
    let status = client.apply(with_token(apply("two"), TOKEN)).await;
    assert_eq!(status.expect_err("down").code(), Code::Unavailable);
}

/// How the entry secures the operator RPC service.
#[derive(Clone, Copy, Debug)]
enum EntrySecurity {
    /// No TLS.
    Plain,
    /// TLS without client certificates.
    Tls,
    /// TLS that requires a client certificate.
    Mutual,
}

#[rstest]
#[case::plain(EntrySecurity::Plain, "", 0, "")]
#[case::tls(EntrySecurity::Tls, "--ca authority", 0, "")]
#[case::mutual(
    EntrySecurity::Mutual,
    "--ca authority --certificate own --key own",
    0,
    ""
)]
#[case::no_ca(EntrySecurity::Tls, "", 1, "an entry that speaks TLS needs --ca")]
#[case::plain_server(EntrySecurity::Plain, "--ca authority", 4, "corrupt message")]
#[case::other_authority(EntrySecurity::Tls, "--ca other", 4, "invalid peer certificate")]
#[case::other_name(
    EntrySecurity::Tls,
    "--ca authority --server-name x",
    4,
    "not valid for name"
)]
#[case::no_certificate(EntrySecurity::Mutual, "--ca authority", 1, "needs --certificate")]
#[case::unknown_certificate(
    EntrySecurity::Mutual,
    "--ca authority --certificate foreign --key foreign",
    1,
    "needs --certificate"
)]
#[case::no_file(EntrySecurity::Tls, "--ca none", 2, "none.pem")]
#[case::half_a_pair(EntrySecurity::Tls, "--ca authority --certificate own", 2, "--key")]
#[actix_rt::test]
async fn the_command_connects_only_with_matching_tls_options(
    #[case] security: EntrySecurity,
    #[case] flags: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let (authority, other) = (TestAuthority::new(), TestAuthority::new());
    let files = authority.issue("agatepin");
    let foreign = other.issue("agatepin");
    let tls = OperatorTls {
        certificate: files.certificate.clone(),
        key: files.key.clone(),
        authority: matches!(security, EntrySecurity::Mutual).then(|| files.authority.clone()),
    };
    let tls = (!matches!(security, EntrySecurity::Plain)).then_some(tls);
    let address = serve_with(MemoryTable::default(), AgentDirectory::default(), tls, 8).await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    let entry = address.to_string();
    command.args(["status", "--token", TOKEN, "--entry", &entry]);
    let mut is_key = false;
    for word in flags.split_whitespace() {
        match word {
            "authority" => command.arg(&files.authority),
            "other" => command.arg(&foreign.authority),
            "own" if is_key => command.arg(&files.key),
            "own" => command.arg(&files.certificate),
            "foreign" if is_key => command.arg(&foreign.key),
            "foreign" => command.arg(&foreign.certificate),
            "none" => command.arg(authority.write("none.pem", None)),
            word => command.arg(word),
        };
        is_key = word == "--key";
    }
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.expect("the command runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}

#[actix_rt::test]
async fn watches_above_the_limit_are_refused_until_one_ends() {
    let address = serve_with(MemoryTable::default(), AgentDirectory::default(), None, 1).await;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("address");
    let mut client = OperatorClient::new(endpoint.connect().await.expect("connect"));
    let spec = rpc::ModelSpec {
        name: "press".to_owned(),
        version: "v1".to_owned(),
        replicas: 1,
        ..rpc::ModelSpec::default()
    };
    let mut request = apply("one");
    request.config.get_or_insert_default().models.push(spec);
    let applied = client.apply(with_token(request, TOKEN)).await;
    applied.expect("apply");
    let watch = || {
        let model = "press".to_owned();
        with_token(rpc::WatchModelRequest { model }, TOKEN)
    };
    let deadline = Instant::now() + Duration::from_secs(20);
    let first = loop {
        match client.watch_model(watch()).await {
            Ok(first) => break first,
            Err(status) => assert!(Instant::now() < deadline, "{status}"),
        }
    };
    let status = client.watch_model(watch()).await.expect_err("limit");
    assert_eq!(status.code(), Code::ResourceExhausted);
    drop(first);
    while client.watch_model(watch()).await.is_err() {
        assert!(Instant::now() < deadline, "the ended watch still counts");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn document() -> rpc::ClusterConfig {
    let data_centre = rpc::DataCentreSpec {
        name: "boston-a".to_owned(),
        region: "east".to_owned(),
        out: false,
    };
    let model = rpc::ModelSpec {
        name: "press".to_owned(),
        version: "v1".to_owned(),
        replicas: 2,
        ..rpc::ModelSpec::default()
    };
    rpc::ClusterConfig {
        data_centres: vec![data_centre],
        models: vec![model],
        ..rpc::ClusterConfig::default()
    }
}

fn deploy(version: &str, model: &str, replicas: u32) -> rpc::DeployModelRequest {
    rpc::DeployModelRequest {
        action_id: format!("deploy-{version}"),
        operator: "lee".to_owned(),
        model: model.to_owned(),
        version: version.to_owned(),
        replicas,
    }
}

fn set_data_centre(name: &str, out: bool) -> rpc::SetDataCentreRequest {
    rpc::SetDataCentreRequest {
        action_id: format!("{name}-{out}"),
        operator: "lee".to_owned(),
        name: name.to_owned(),
        out,
    }
}

#[actix_rt::test]
async fn changes_are_committed_shown_and_listed_in_the_history() {
    let mut client = serve(MemoryTable::default()).await;
    let mut first = apply("one");
    first.config = Some(document());
    client.apply(with_token(first, TOKEN)).await.expect("apply");

    let change = with_token(deploy("v2", "press", 0), TOKEN);
    let reply = client.deploy_model(change).await.expect("deploy");
    assert_eq!(reply.into_inner().revision, 2);
    for repeated in [false, true] {
        let change = with_token(set_data_centre("boston-a", true), TOKEN);
        let reply = client.set_data_centre(change).await.expect("out");
        let reply = reply.into_inner();
        assert_eq!((reply.revision, reply.repeated), (3, repeated));
    }
    let wrong = with_token(deploy("v3", "ink", 1), TOKEN);
    let status = client.deploy_model(wrong).await.expect_err("model");
    assert_eq!(status.code(), Code::InvalidArgument);
    assert!(status.message().contains("\"ink\" does not exist"));
    let wrong = with_token(set_data_centre("hartford-a", true), TOKEN);
    let status = client.set_data_centre(wrong).await.expect_err("centre");
    assert!(status.message().contains("\"hartford-a\" does not exist"));

    let deadline = Instant::now() + DEADLINE;
    let shown = loop {
        let reply = client.show(with_token(rpc::ShowRequest {}, TOKEN)).await;
        let config = reply.expect("show").into_inner().config.expect("config");
        if config.revision == 3 || Instant::now() > deadline {
            break config;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    assert_eq!(shown.revision, 3);
    assert!(shown.data_centres[0].out);
    let model = &shown.models[0];
    assert_eq!((model.version.as_str(), model.replicas), ("v2", 2));
    let reply = client
        .history(with_token(rpc::HistoryRequest {}, TOKEN))
        .await;
    let changes = reply.expect("history").into_inner().changes;
    let committed: Vec<(u64, &str)> = changes
        .iter()
        .map(|change| (change.revision, change.operator.as_str()))
        .collect();
    assert_eq!(committed, [(1, "kim"), (2, "lee"), (3, "lee")]);
}

fn agent_state(gate: GateState) -> AgentState {
    AgentState {
        instance: "a1".to_owned(),
        incarnation: 1,
        model: "press".to_owned(),
        version: "v1".to_owned(),
        gate: gate.into(),
        chunks_held: 3,
        chunks_wanted: 4,
        number: gate as u64,
        ..AgentState::default()
    }
}

#[actix_rt::test]
async fn status_dump_and_watch_report_the_current_state() {
    let directory = AgentDirectory::default();
    let mut client = serve_directory(MemoryTable::default(), directory.clone()).await;
    let mut first = apply("one");
    first.config = Some(document());
    client.apply(with_token(first, TOKEN)).await.expect("apply");

    let deadline = Instant::now() + DEADLINE;
    let status = loop {
        let reply = client
            .status(with_token(rpc::StatusRequest {}, TOKEN))
            .await;
        let status = reply.expect("status").into_inner();
        let is_current = status.processes.iter().any(|own| own.config_revision == 1);
        if is_current || Instant::now() > deadline {
            break status;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    assert_eq!(status.revision, 1);
    let own = &status.processes[0];
    assert_eq!((own.instance.as_str(), own.role.as_str()), ("e1", "entry"));
    assert_eq!((own.config_revision, own.liveness.as_str()), (1, "alive"));
    assert_eq!(status.data_centres[0].name, "boston-a");
    assert_eq!(status.refusals[0].count, 7);
    let reply = client.dump(with_token(rpc::DumpRequest {}, TOKEN)).await;
    let dump = reply.expect("dump").into_inner().json;
    let dump: serde_json::Value = serde_json::from_str(&dump).expect("JSON");
    assert_eq!(dump["entry"]["waiting"], 3);
    assert_eq!(dump["spread"]["revision"], 1);

    let model = "press".to_owned();
    let watch = with_token(rpc::WatchModelRequest { model }, TOKEN);
    let mut states = client.watch_model(watch).await.expect("watch").into_inner();
    let watched = states.message().await.expect("state").expect("open");
    assert_eq!(
        (watched.wanted, watched.serving, watched.chunks_wanted),
        (2, 0, 0)
    );
    directory.update(agent_state(GateState::Loading));
    let watched = states.message().await.expect("state").expect("open");
    assert_eq!(
        (watched.serving, watched.chunks_held, watched.chunks_wanted),
        (0, 3, 4)
    );
    directory.update(agent_state(GateState::Serving));
    let watched = states.message().await.expect("state").expect("open");
    assert_eq!(watched.serving, 1);
    let mut removal = apply("two");
    removal.config = Some(rpc::ClusterConfig {
        models: Vec::new(),
        ..document()
    });
    client
        .apply(with_token(removal, TOKEN))
        .await
        .expect("apply");
    let ended = states.message().await.expect_err("the model is gone");
    assert_eq!(ended.message(), "model \"press\" does not exist");
}

/// The entry accepts 4 connections of operators at a time. 6 peers that send nothing or garbage
/// must not use them up.
#[rstest]
#[case::nothing(b"")]
#[case::garbage(b"GET / HTTP/1.1\r\n\r\n")]
#[case::no_settings(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff")]
#[actix_rt::test]
async fn unauthenticated_connections_do_not_block_operators(
    #[case] bytes: &[u8],
    #[values(false, true)] tls: bool,
) {
    let authority = TestAuthority::new();
    let files = authority.issue("agatepin");
    let tls = tls.then(|| OperatorTls {
        certificate: files.certificate.clone(),
        key: files.key.clone(),
        authority: None,
    });
    let address = serve_with(
        MemoryTable::default(),
        AgentDirectory::default(),
        tls.clone(),
        8,
    )
    .await;
    let mut connections = Vec::new();
    for _ in 0..6 {
        let mut connection = TcpStream::connect(address).await.expect("connect");
        connection.write_all(bytes).await.expect("write");
        connections.push(connection);
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    let entry = address.to_string();
    command.args([
        "status",
        "--timeout",
        "20s",
        "--token",
        TOKEN,
        "--entry",
        &entry,
    ]);
    if tls.is_some() {
        command.arg("--ca").arg(&files.authority);
    }
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.expect("the command runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{stderr}");
}

/// The port accepts connections and never answers. Without TLS the request may have been sent; with
/// TLS the handshake did not complete, so that the command can report that nothing changed.
#[rstest]
#[case::tls(true, 4, "no connection in time")]
#[case::plain(false, 1, "the outcome is not known")]
#[actix_rt::test]
async fn the_command_ends_if_the_entry_never_answers(
    #[case] tls: bool,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let authority = TestAuthority::new();
    let files = authority.issue("agatepin");
    let (_listener, address) = bind().await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    let entry = address.to_string();
    command.args(["status", "--timeout", "200ms", "--entry", &entry]);
    if tls {
        command.arg("--ca").arg(&files.authority);
    }
    command.timeout(DEADLINE);
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.expect("the command runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
}
