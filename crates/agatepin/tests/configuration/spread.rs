//! Tests of the platform clients, and of the distribution of configuration and membership over
//! links between processes.

use std::net::SocketAddr;
use std::time::Duration;

use crate::table::MemoryTable;
use agatepin::platform::http::{HttpClient, HttpError, HttpRequest};
use agatepin::platform::instances::InstanceReader;
use agatepin::platform::table::{DynamoTable, RowExpectation, RowPut, TableError, TableStore};
use agatepin::spread::{self, SpreadHandle, SpreadOptions};
use agatepin::store::ConfigStore;
use agatepin::wire::acceptor::{self, AcceptorIdentity, LinkRoutes};
use agatepin::wire::frames::ProcessRole;
use agatepin::wire::link::{LinkPolicy, ProcessIdentity};
use agatepin_core::config::{ChangeRequest, ClusterConfig, ConfigChange};
use agatepin_core::heartbeat::HeartbeatPolicy;
use bytes::Bytes;
use prometheus::Registry;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Time limit of each wait for a watched value to change.
const DEADLINE: Duration = Duration::from_secs(20);

pub(crate) async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

/// Starts a server that answers every connection with `reply` and closes it. Returns its URL.
pub(crate) async fn serve_reply(reply: String) -> String {
    let (listener, address) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer).await;
            let _ = stream.write_all(reply.as_bytes()).await;
        }
    });
    format!("http://{address}")
}

/// An HTTP reply with the given status line and body.
pub(crate) fn reply(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

/// An HTTP client for the platform services.
fn client() -> HttpClient {
    HttpClient::start(Duration::from_secs(1), CancellationToken::new())
}

/// Error reply to a transaction in which the second row failed its condition.
const CANCELED: &str = r#"{"__type":"TransactionCanceledException",
    "CancellationReasons":[{"Code":"None"},{"Code":"ConditionalCheckFailed"}]}"#;

/// A write whose answer is missing or incomplete may have taken effect: its outcome is unknown.
#[rstest]
#[case::done(reply("200 OK", "{}"), "done")]
#[case::conflict(reply("400 Bad Request", CANCELED), "conflict")]
#[case::invalid(reply("400 Bad Request", "{}"), "refused")]
#[case::down(reply("503 Service Unavailable", "{}"), "unknown")]
#[case::dropped(String::new(), "unknown")]
#[case::truncated("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".to_owned(), "unknown")]
#[actix_rt::test]
async fn the_reply_decides_the_outcome_of_a_write(#[case] answer: String, #[case] expected: &str) {
    let url = serve_reply(answer).await;
    let table = DynamoTable::new(client(), url, None, Duration::from_secs(5));
    let put = RowPut {
        table: "t".to_owned(),
        key: "k".to_owned(),
        value: Bytes::new(),
        expect: RowExpectation::Absent,
        new_version: 1,
    };
    let outcome = match table.transact(vec![put]).await {
        Ok(()) => "done",
        Err(TableError::Conflict(rows)) => {
            assert_eq!(rows, [1]);
            "conflict"
        }
        Err(TableError::Refused(_)) => "refused",
        Err(TableError::Unknown(_)) => "unknown",
        Err(TableError::Unavailable(_)) => "unavailable",
    };
    assert_eq!(outcome, expected);
}

#[actix_rt::test]
async fn a_refused_connection_is_a_connect_error() {
    // Bound without listening, so that no other test gets the port.
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket
        .bind("127.0.0.1:0".parse().expect("address"))
        .expect("bind");
    let address = socket.local_addr().expect("address");
    let request = HttpRequest {
        method: awc::http::Method::GET,
        url: format!("http://{address}/"),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(5),
        max_reply_bytes: 1024,
    };
    let err = client().request(request).await.expect_err("closed port");
    assert!(matches!(err, HttpError::Connect(_)), "{err}");
}

/// The spread tasks (distribution of configuration and membership) of one cluster member. They run
/// inside the test's process.
pub(crate) struct SpreadProcess {
    pub(crate) handle: SpreadHandle,
    /// Cancelled to start the graceful shutdown.
    leaving: CancellationToken,
    /// Cancelled to stop all tasks of the member.
    pub(crate) stopped: CancellationToken,
}

/// Spawns the spread tasks of the cluster member `name` inside the test's process: `listener`
/// accepts its links, `list` is the URL of the instance list and `table` stores the configuration.
pub(crate) fn start(
    name: &str,
    listener: TcpListener,
    list: &str,
    table: MemoryTable,
) -> SpreadProcess {
    let policy = LinkPolicy {
        connect_timeout: Duration::from_secs(2),
        heartbeat: HeartbeatPolicy {
            interval: Duration::from_millis(100),
            misses: 20,
        },
        ..LinkPolicy::default()
    };
    let identity = ProcessIdentity {
        role: ProcessRole::Entry,
        instance: name.to_owned(),
        incarnation: 1,
        data_centre: "boston-a".to_owned(),
    };
    let wire = listener.local_addr().expect("address");
    let (queue, accepted) = mpsc::unbounded_channel();
    let (leaving, stopped) = (CancellationToken::new(), CancellationToken::new());
    let own = AcceptorIdentity {
        process: identity.clone(),
        policy: policy.clone(),
    };
    let routes = LinkRoutes {
        spread: Some(queue),
        ..LinkRoutes::default()
    };
    tokio::spawn(acceptor::run(listener, own, routes, stopped.clone()));
    let options = SpreadOptions {
        upstream: Some(format!("m-{}", identity.instance)),
        identity,
        policy,
        wire,
        http: wire,
        store: ConfigStore::new(table),
        table_interval: Duration::from_mins(5),
        instances: InstanceReader::new(client(), list, None, Duration::from_secs(5)),
        list_interval: Duration::from_millis(100),
        registry: Registry::new(),
        leaving: leaving.clone(),
        stopped: stopped.clone(),
    };
    let handle = spread::start(options, accepted).expect("start");
    SpreadProcess {
        handle,
        leaving,
        stopped,
    }
}

/// Waits until the watched value passes `check`; panics after [`DEADLINE`].
async fn wait_for_value<Value, Check>(receiver: &watch::Receiver<Value>, check: Check)
where
    Check: FnMut(&Value) -> bool,
{
    let mut receiver = receiver.clone();
    let waiting = receiver.wait_for(check);
    let result = tokio::time::timeout(DEADLINE, waiting).await;
    assert!(result.expect("in time").is_ok());
}

/// Commits an empty configuration document and returns the resulting configuration.
async fn commit(store: &ConfigStore<MemoryTable>, action_id: &str) -> ClusterConfig {
    let request = ChangeRequest {
        action_id: action_id.to_owned(),
        operator: "kim".to_owned(),
        unix_millis: 1,
        change: ConfigChange::Replace(Box::default()),
    };
    store.commit(&request, 0).await.expect("commit").config
}

/// Only `e1` can read the table; `e2` and `e3` must get each revision from their peers.
#[actix_rt::test]
async fn processes_without_a_table_get_the_configuration_from_peers() {
    let mut listeners = Vec::new();
    let mut listed = Vec::new();
    for name in ["e1", "e2", "e3"] {
        let (listener, address) = bind().await;
        listed.push(format!(
            r#"{{"id":"{name}","role":"entry","data_centre":"boston-a","wire":"{address}","http":"{address}"}}"#
        ));
        listeners.push(listener);
    }
    let body = format!(r#"{{"instances":[{}]}}"#, listed.join(","));
    let list = serve_reply(reply("200 OK", &body)).await;
    let (table, unreachable_table) = (MemoryTable::default(), MemoryTable::default());
    unreachable_table.set_down(true);
    let store = ConfigStore::new(table.clone());
    commit(&store, "one").await;

    let third = start("e3", listeners.remove(2), &list, unreachable_table.clone());
    let second = start("e2", listeners.remove(1), &list, unreachable_table);
    assert!(!*second.handle.config_known.borrow());
    let first = start("e1", listeners.remove(0), &list, table);
    for process in [&first, &second, &third] {
        wait_for_value(&process.handle.config_known, |config_known| *config_known).await;
        wait_for_value(&process.handle.config, |config| config.revision == 1).await;
    }

    let committed = commit(&store, "two").await;
    first.handle.put_in_force(committed).await;
    for process in [&first, &second, &third] {
        wait_for_value(&process.handle.config, |config| config.revision == 2).await;
    }
    wait_for_value(&first.handle.state, |state| {
        let behind = state
            .records
            .iter()
            .any(|record| record.config_revision != 2);
        state.records.len() == 3 && !behind
    })
    .await;
    wait_for_value(&first.handle.members, |members| {
        let upstream = |name| {
            members
                .find(name)
                .and_then(|member| member.upstream.clone())
        };
        upstream("e2").as_deref() == Some("m-e2")
    })
    .await;

    second.leaving.cancel();
    wait_for_value(&first.handle.members, |members| {
        members.find("e2").is_some_and(|member| member.leaving)
    })
    .await;
    for process in [first, second, third] {
        process.stopped.cancel();
    }
}
