//! Tests of the HTTP limits of a running entry: slow, idle, malformed and oversized requests.

use std::time::Duration;

use agatepin::daemon::Daemon;
use agatepin::entry::EntryDaemon;
use agatepin::settings::EntrySettings;
use agatepin::settings::reader::SectionReader;
use assert_cmd::Command;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time within which the entry must close a connection.
const DEADLINE: Duration = Duration::from_secs(20);
const TOKEN: &str = "0123456789abcdef";

/// Starts an entry with low HTTP limits. Its platform services (table, instance list and origin)
/// are unreachable.
async fn start() -> EntryDaemon {
    let text = format!(
        "[process]\ninstance = \"e1\"\ndata_centre = \"here\"\n\
         wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"http://127.0.0.1:9\"\ninstances = \"http://127.0.0.1:9\"\n\
         origin = \"http://127.0.0.1:9\"\n\
         [link]\nallow_plain = true\n\
         [http]\nadmin_token = \"{TOKEN}\"\nmax_connections = 2\nhead_timeout = \"1s\"\n\
         [operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n\
         [calls]\nmax_body_bytes = 1000\nbody_timeout = \"300ms\"\n"
    );
    let settings: EntrySettings = SectionReader::parse(&text).unwrap();
    EntryDaemon::start(settings).await.unwrap()
}

/// Sends `bytes` and reads until the connection ends.
async fn exchange(entry: &EntryDaemon, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry.ready().http).await.unwrap();
    // The write fails if the entry closes the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let ended = tokio::time::timeout(DEADLINE, reading).await;
    assert!(ended.is_ok(), "the connection was not closed");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A chat request with the given header lines and body.
fn post(headers: &str, body: &str) -> Vec<u8> {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close";
    format!("{head}\r\n{headers}\r\n\r\n{body}").into_bytes()
}

/// The entry serves 2 connections at a time. If it kept those of bad requests open, the requests
/// after them would wait.
#[rstest]
#[case::nothing(Vec::new(), "")]
#[case::half_a_head(b"POST /v1/chat HTTP/1.1\r\nhost:".to_vec(), "408")]
#[case::garbage(b"\x16\x03\x01\x02\xff\r\n\r\n".to_vec(), "400")]
#[case::half_a_body(post("content-length: 100", "{"), "408 ")]
#[case::half_a_chunk(post("transfer-encoding: chunked", "5\r\n{"), "408 ")]
#[case::long_body(post("content-length: 1001", &"x".repeat(1001)), "413 ")]
#[case::long_chunks(post("transfer-encoding: chunked", &format!("3e9\r\n{}\r\n0\r\n\r\n", "x".repeat(1001))), "413 ")]
#[case::endless_chunks(post("transfer-encoding: chunked", &format!("3e9\r\n{}\r\n", "x".repeat(1001))), "413 ")]
#[case::invalid_length(post("content-length: -1", ""), "400 ")]
#[case::invalid_chunk(post("transfer-encoding: chunked", "zz\r\n"), "400 ")]
#[case::endless_head(post(&format!("x: {}", "y".repeat(400_000)), ""), "")]
#[case::many_headers(post(&"x: y\r\n".repeat(500), ""), "431 ")]
#[actix::test]
async fn bad_requests_are_closed_and_do_not_block_others(
    #[case] bytes: Vec<u8>,
    #[case] expected: &str,
) {
    let entry = start().await;
    let requests = (0..6).map(|_| exchange(&entry, &bytes));
    for answer in futures_util::future::join_all(requests).await {
        assert!(answer.contains(expected), "{answer}");
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    let health_request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = exchange(&entry, health_request).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    entry.stop_now().await;
}

/// Guards against callers whose connection is reset before they have sent their request and read
/// the refusal.
#[rstest]
#[case::length("connection: close\r\ncontent-length: 3000", "x".repeat(1_000))]
#[case::large("content-length: 12000000", "x".repeat(4_000_000))]
#[case::kept("content-length: 3000", "x".repeat(1_000))]
#[case::chunks("transfer-encoding: chunked", format!("3e8\r\n{}\r\n", "x".repeat(1_000)))]
#[actix::test]
async fn a_caller_of_a_long_body_can_send_it_and_gets_the_refusal(
    #[case] headers: &str,
    #[case] part: String,
) {
    let entry = start().await;
    let mut stream = TcpStream::connect(entry.ready().http).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{headers}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.write_all(part.as_bytes()).await.unwrap();
    }
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    let read = tokio::time::timeout(DEADLINE, reading).await;
    read.expect("the connection was not closed").unwrap();
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    let announced = answer.to_ascii_lowercase().contains("connection: close");
    assert!(announced, "{answer}");
    entry.stop_now().await;
}

/// `AGATEPIN_TOKEN` is for the operator RPC service of the entries: the command must not send it to
/// an admin page.
#[rstest]
#[case(None, 2, "use --token")]
#[case(Some("another"), 2, "use --token")]
#[case(Some(TOKEN), 0, "")]
#[actix::test]
async fn dump_requires_the_admin_token(
    #[case] token: Option<&str>,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let entry = start().await;
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    command.env("AGATEPIN_TOKEN", TOKEN);
    command.arg("dump").arg(entry.ready().http.to_string());
    if let Some(token) = token {
        command.arg("--token").arg(token);
    }
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stderr}");
    assert!(stderr.contains(expected), "{stderr}");
    entry.stop_now().await;
}
