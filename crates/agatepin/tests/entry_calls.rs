//! Tests of the caller-facing HTTP API of an entry, with scripted agents.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agatepin::context::ProcessContext;
use agatepin::entry::call_server::{CallServer, CallServerParts};
use agatepin::entry::claim_rows::ClaimRows;
use agatepin::net;
use agatepin::platform::http::HttpClient;
use agatepin::platform::instances::InstanceReader;
use agatepin::platform::table::{RowExpectation, RowPut, TableError, TableRow, TableStore};
use agatepin::settings::CallSettings;
use agatepin::spread::{self, SpreadHandle, SpreadOptions};
use agatepin::store::ConfigStore;
use agatepin::wire::frames::{
    AgentState, AnswerBody, AnswerHead, AnswerTrailer, CallFate, CallOutcome, CallStart, GateState,
    ProcessRole, RequestId, StoredAnswer, frame::Body,
};
use agatepin::wire::link::{self, LinkPolicy, LinkSender, ProcessIdentity};
use agatepin_core::config::{
    ClusterConfig, CustomerSpec, DataCentreSpec, ModelSpec, UpstreamKind, UpstreamSpec,
};
use agatepin_core::heartbeat::HeartbeatPolicy;
use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole, MemberView};
use bytes::Bytes;
use rstest::rstest;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Body of each complete answer of the agents.
const BODY: &[u8] = b"the whole answer";
/// Time limit of each wait for the entry.
const DEADLINE: Duration = Duration::from_secs(20);

/// How an agent answers a call.
#[derive(Clone, Copy, PartialEq)]
enum AnswerScript {
    Complete,
    /// Sends an answer with the id of another call before the complete answer.
    OtherCallFirst,
    /// Sends one byte less than the trailer states.
    Truncated,
    /// Sends the body twice.
    Duplicated,
    /// Sends the body once more after the trailer.
    LateFrame,
    /// Closes the link without an answer.
    CloseLink,
}

/// Table in memory; clones share the rows.
#[derive(Clone, Default)]
struct MemoryTable {
    rows: Arc<Mutex<HashMap<String, TableRow>>>,
    /// Whether each write fails as unavailable; reads succeed in any case.
    writes_fail: bool,
}

impl TableStore for MemoryTable {
    async fn get(&self, _: &str, key: &str) -> Result<Option<TableRow>, TableError> {
        Ok(self.rows.lock().expect("rows").get(key).cloned())
    }

    async fn transact(&self, puts: Vec<RowPut>) -> Result<(), TableError> {
        if self.writes_fail {
            return Err(TableError::Unavailable("down".to_owned()));
        }
        let mut rows = self.rows.lock().expect("rows");
        let mut conflicts = Vec::new();
        for (index, put) in puts.iter().enumerate() {
            let found = rows.get(&put.key).map(|row| row.version);
            let expected = match put.expect {
                RowExpectation::Absent => None,
                RowExpectation::Version(version) => Some(version),
            };
            if found != expected {
                conflicts.push(index);
            }
        }
        if !conflicts.is_empty() {
            return Err(TableError::Conflict(conflicts));
        }
        for put in puts {
            let row = TableRow {
                version: put.new_version,
                value: put.value,
            };
            rows.insert(put.key, row);
        }
        Ok(())
    }
}

fn identity(instance: &str, role: ProcessRole) -> ProcessIdentity {
    ProcessIdentity {
        role,
        instance: instance.to_owned(),
        incarnation: 7,
        data_centre: "here".to_owned(),
    }
}

fn policy() -> LinkPolicy {
    LinkPolicy {
        connect_timeout: Duration::from_secs(1),
        heartbeat: HeartbeatPolicy {
            interval: Duration::from_millis(200),
            misses: 5,
        },
        ..LinkPolicy::default()
    }
}

/// State of an agent that serves the service `desk` or the model `press`.
fn agent_state(instance: &str, service: bool) -> AgentState {
    AgentState {
        instance: instance.to_owned(),
        incarnation: 7,
        data_centre: "here".to_owned(),
        gate: GateState::Serving.into(),
        model: if service { "" } else { "press" }.to_owned(),
        service: if service { "desk" } else { "" }.to_owned(),
        limit: 4,
        number: 1,
        ..AgentState::default()
    }
}

async fn send_answer(sender: &LinkSender, id: RequestId, script: AnswerScript) {
    let id = Some(id);
    let head = AnswerHead {
        id,
        status: 200,
        customer: "shop".to_owned(),
        ..AnswerHead::default()
    };
    let body = Body::AnswerBody(AnswerBody {
        id,
        data: Bytes::from_static(BODY),
    });
    let bytes = BODY.len() as u64 + u64::from(script == AnswerScript::Truncated);
    let digest = Bytes::copy_from_slice(blake3::hash(BODY).as_bytes());
    let trailer = AnswerTrailer {
        id,
        bytes,
        digest,
        limit: 4,
        ..AnswerTrailer::default()
    };
    let mut frames = vec![Body::AnswerHead(head), body.clone()];
    if script == AnswerScript::Duplicated {
        frames.push(body.clone());
    }
    frames.push(Body::AnswerTrailer(trailer));
    if script == AnswerScript::LateFrame {
        frames.push(body);
    }
    for frame in frames {
        let _ = sender.send(frame).await;
    }
}

async fn answer_call(sender: &LinkSender, call: CallStart, script: AnswerScript) {
    let id = call.id.expect("id");
    if script == AnswerScript::CloseLink {
        sender.close();
        return;
    }
    if script == AnswerScript::OtherCallFirst {
        let number = id.number + 1000;
        send_answer(sender, RequestId { number, ..id }, AnswerScript::Complete).await;
    }
    send_answer(sender, id, script).await;
}

/// Runs an agent: answers the first call of all agents by `script` and all others completely.
/// `runs` counts the calls that the agents received.
async fn run_agent(
    listener: TcpListener,
    instance: &'static str,
    script: AnswerScript,
    runs: Arc<AtomicU32>,
) {
    let role = ProcessRole::Agent;
    let mut received_attempts: Vec<String> = Vec::new();
    loop {
        let (stream, _) = listener.accept().await.expect("accept");
        let Ok(mut link) = link::accept(stream, &identity(instance, role), &policy()).await else {
            continue;
        };
        let first = Body::AgentState(agent_state(instance, instance == "a2"));
        let _ = link.sender.send(first).await;
        while let Some(body) = link.receiver.recv().await {
            match body {
                Body::CallStart(call) => {
                    let run = runs.fetch_add(1, Ordering::SeqCst);
                    received_attempts.push(call.attempt.clone());
                    let script = if run == 0 {
                        script
                    } else {
                        AnswerScript::Complete
                    };
                    answer_call(&link.sender, call, script).await;
                }
                Body::CallQuery(query) => {
                    let was_received = received_attempts.contains(&query.attempt);
                    let outcome = if was_received {
                        CallOutcome::Done
                    } else {
                        CallOutcome::Refused
                    };
                    let answer = was_received.then(|| StoredAnswer {
                        status: 200,
                        headers: Vec::new(),
                        body: Bytes::from_static(BODY),
                    });
                    let status = CallFate {
                        id: query.id,
                        attempt: query.attempt,
                        outcome: outcome.into(),
                        answer,
                    };
                    let _ = link.sender.send(Body::CallFate(status)).await;
                }
                _ => (),
            }
        }
    }
}

fn config() -> ClusterConfig {
    let upstream = UpstreamSpec {
        data_centre: "here".to_owned(),
        kind: UpstreamKind::Service("desk".to_owned()),
        checks_order_numbers: true,
        reports_load: true,
        may_repeat_calls: false,
        cold_limit: 4,
        warm_limit: 4,
        memory_bytes: 0,
    };
    let model = ModelSpec {
        version: "1".to_owned(),
        replicas: 1,
        data_centres: Vec::new(),
        base: None,
    };
    let customer = CustomerSpec {
        weight: 1,
        priority: 0,
        key_digest: None,
    };
    let centre = DataCentreSpec {
        region: "r".to_owned(),
        out: false,
    };
    ClusterConfig {
        revision: 1,
        data_centres: BTreeMap::from([("here".to_owned(), centre)]),
        models: BTreeMap::from([("press".to_owned(), model)]),
        upstreams: BTreeMap::from([("u1".to_owned(), upstream)]),
        customers: BTreeMap::from([("shop".to_owned(), customer)]),
        recent: Vec::new(),
    }
}

/// An entry with two agents: `a1` serves a model, `a2` a service.
struct TestBed {
    /// The entry's server for calls.
    server: CallServer,
    /// Number of calls that the agents received.
    runs: Arc<AtomicU32>,
    // The senders keep the watch channels of the entry open.
    _config: watch::Sender<Arc<ClusterConfig>>,
    _members: watch::Sender<Arc<MemberView>>,
}

/// A spread task without peers; the entry needs its handle for the dump.
fn idle_spread(
    context: &ProcessContext,
    http: &std::net::TcpListener,
    table: MemoryTable,
) -> SpreadHandle {
    let address = http.local_addr().expect("address");
    let client = HttpClient::start(Duration::from_secs(1), CancellationToken::new());
    let list = format!("http://{address}/none");
    let options = SpreadOptions {
        identity: context.identity.clone(),
        policy: context.policy.clone(),
        upstream: None,
        wire: address,
        http: address,
        store: ConfigStore::new(table),
        table_interval: Duration::from_mins(5),
        instances: InstanceReader::new(client, &list, None, Duration::from_secs(1)),
        list_interval: Duration::from_mins(5),
        registry: prometheus::Registry::new(),
        leaving: CancellationToken::new(),
        stopped: context.stopped.clone(),
    };
    let (_, links) = mpsc::unbounded_channel();
    spread::start(options, links).expect("spread")
}

/// Starts the entry and its agents. The first call that reaches any agent is answered by `script`;
/// with `writes_fail`, every write to the table fails as unavailable.
async fn start(script: AnswerScript, writes_fail: bool) -> TestBed {
    let runs = Arc::new(AtomicU32::new(0));
    let mut view = MemberView::default();
    for instance in ["a1", "a2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let wire = listener.local_addr().expect("address");
        view.members.push(ClusterMember {
            instance: instance.to_owned(),
            role: MemberRole::Agent,
            data_centre: "here".to_owned(),
            wire,
            http: wire,
            leaving: false,
            health: MemberHealth::Alive,
            upstream: Some(instance.to_owned()),
        });
        tokio::spawn(run_agent(listener, instance, script, runs.clone()));
    }
    let (config_tx, config) = watch::channel(Arc::new(config()));
    let (members_tx, members) = watch::channel(Arc::new(view));
    let context = ProcessContext {
        identity: identity("e1", ProcessRole::Entry),
        policy: policy(),
        config,
        members,
        registry: prometheus::Registry::new(),
        leaving: CancellationToken::new(),
        stopped: CancellationToken::new(),
    };
    let settings = CallSettings {
        timeout: Duration::from_secs(10),
        keep_addresses: Duration::from_millis(100),
        ..CallSettings::default()
    };
    let rows = MemoryTable {
        writes_fail,
        ..MemoryTable::default()
    };
    let http = net::bind("127.0.0.1:0".parse().expect("address"), "HTTP").expect("bind");
    let spread = idle_spread(&context, &http, rows.clone());
    let server = CallServer::start(CallServerParts {
        context,
        settings,
        http,
        table: ClaimRows::start(rows),
        spread,
    });
    TestBed {
        server: server.expect("start"),
        runs,
        _config: config_tx,
        _members: members_tx,
    }
}

impl TestBed {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.server.address)
    }

    /// Sends a chat request. Returns the status and the body, unless its transfer failed.
    async fn send_chat(&self, model: &str, stream: bool) -> (u16, Option<Bytes>) {
        let body = serde_json::json!({"model": model, "stream": stream, "messages": []});
        let request = awc::Client::default()
            .post(self.url("/v1/chat/completions"))
            .timeout(DEADLINE)
            .insert_header(("x-customer", "shop"));
        let mut response = request.send_json(&body).await.expect("response");
        let body = response.body().await.ok();
        (response.status().as_u16(), body)
    }

    /// Sends an order, a call with an idempotency key that must run at most once. Returns status,
    /// body and the header `x-agatepin-outcome`.
    async fn send_order(&self, key: &str, body: &'static str) -> (u16, Bytes, String) {
        let request = awc::Client::default()
            .post(self.url("/v1/services/desk/orders"))
            .timeout(DEADLINE)
            .insert_header(("x-customer", "shop"))
            .insert_header(("idempotency-key", key));
        let mut response = request.send_body(body).await.expect("response");
        let outcome = response.headers().get("x-agatepin-outcome").cloned();
        let outcome = outcome.map(|value| value.to_str().unwrap_or_default().to_owned());
        let body = response.body().await.expect("body");
        (
            response.status().as_u16(),
            body,
            outcome.unwrap_or_default(),
        )
    }

    /// Returns a streamed answer as sent on the connection. The client awc is not used: it takes a
    /// connection that breaks off for the end of the body.
    async fn read_raw_stream(&self) -> String {
        let body = r#"{"model":"press","stream":true,"messages":[]}"#;
        let length = body.len();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: e1\r\nx-customer: shop\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        let address = self.server.address;
        let mut stream = TcpStream::connect(address).await.expect("connect");
        stream.write_all(request.as_bytes()).await.expect("write");
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(DEADLINE, reading).await.expect("end");
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Customers recorded for the replies that belong to no open call.
    fn late_customers(&self) -> Vec<String> {
        let replies = self.server.shared.calls.late_replies();
        replies.into_iter().map(|reply| reply.customer).collect()
    }
}

#[rstest]
#[case::complete(AnswerScript::Complete, true)]
#[case::other_call_first(AnswerScript::OtherCallFirst, true)]
#[case::late_frame(AnswerScript::LateFrame, true)]
#[case::truncated(AnswerScript::Truncated, false)]
#[case::duplicated(AnswerScript::Duplicated, false)]
#[actix_web::test]
async fn a_stream_ends_cleanly_only_if_the_answer_is_complete(
    #[case] script: AnswerScript,
    #[case] complete: bool,
) {
    let test_bed = start(script, false).await;
    let answer = test_bed.read_raw_stream().await;
    let clean = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
    assert_eq!(clean, complete, "{answer}");
}

#[rstest]
#[case::truncated(AnswerScript::Truncated)]
#[case::duplicated(AnswerScript::Duplicated)]
#[case::closed_link(AnswerScript::CloseLink)]
#[actix_web::test]
async fn a_lost_buffered_answer_is_retried(#[case] script: AnswerScript) {
    let test_bed = start(script, false).await;
    let (status, body) = test_bed.send_chat("press", false).await;
    assert_eq!((status, body), (200, Some(Bytes::from_static(BODY))));
    assert_eq!(test_bed.runs.load(Ordering::SeqCst), 2);
}

#[rstest]
#[case::other_call_first(AnswerScript::OtherCallFirst)]
#[case::late_frame(AnswerScript::LateFrame)]
#[actix_web::test]
async fn late_replies_are_recorded_with_the_customer(#[case] script: AnswerScript) {
    let test_bed = start(script, false).await;
    test_bed.send_chat("press", false).await;
    let deadline = Instant::now() + DEADLINE;
    while test_bed.late_customers().is_empty() && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let late_replies = test_bed.late_customers();
    assert!(
        !late_replies.is_empty() && late_replies.iter().all(|name| name == "shop"),
        "{late_replies:?}"
    );
}

#[rstest]
#[case::complete(AnswerScript::Complete)]
#[case::closed_link(AnswerScript::CloseLink)]
#[case::truncated(AnswerScript::Truncated)]
#[actix_web::test]
async fn a_repeated_order_runs_once(#[case] script: AnswerScript) {
    let test_bed = start(script, false).await;
    for _ in 0..2 {
        let (status, body, outcome) = test_bed.send_order("k1", "two rollers").await;
        assert_eq!((status, outcome.as_str()), (200, "answered"));
        assert_eq!(body, BODY);
    }
    let (status, _, _) = test_bed.send_order("k1", "three rollers").await;
    assert_eq!(status, 422);
    assert_eq!(test_bed.runs.load(Ordering::SeqCst), 1);
}

#[actix_web::test]
async fn an_order_is_not_run_if_the_table_is_unavailable() {
    let test_bed = start(AnswerScript::Complete, true).await;
    let (status, _, outcome) = test_bed.send_order("k1", "two rollers").await;
    assert_eq!((status, outcome.as_str()), (503, "not-run"));
    assert_eq!(test_bed.runs.load(Ordering::SeqCst), 0);
}

#[actix_web::test]
async fn an_unknown_model_is_reported_by_name() {
    let test_bed = start(AnswerScript::Complete, false).await;
    let (status, body) = test_bed.send_chat("loom", false).await;
    let error: Value = serde_json::from_slice(&body.expect("body")).expect("JSON");
    assert_eq!(status, 404);
    assert_eq!(error["error"]["message"], "model \"loom\" does not exist");
}

#[actix_web::test]
async fn an_entry_in_graceful_shutdown_advertises_no_address_and_still_serves() {
    let test_bed = start(AnswerScript::Complete, false).await;
    test_bed.server.shared.context.leaving.cancel();
    let url = test_bed.url("/v1/addresses");
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("response");
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(answer["addresses"], serde_json::json!([]));
    assert_eq!(test_bed.send_chat("press", false).await.0, 200);
    test_bed.server.leave().await;
}

#[test]
fn a_bind_error_contains_the_address() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = taken.local_addr().expect("address");
    let err = net::bind(address, "HTTP").expect_err("in use");
    assert!(err.to_string().contains(&address.to_string()), "{err}");
}
