//! Tests of the stand-ins of the platform: table service, instance list and weight origin.

use std::time::{Duration, Instant};

use agatepin_standins::instances::{InstanceListControl, InstanceListOptions, ListedInstance};
use agatepin_standins::origin::{OriginControl, OriginOptions, SharedChunks, VersionSpec};
use agatepin_standins::table::{TableControl, TableMode, TableOptions};
use agatepin_standins::{InstanceListStandin, OriginStandin, TableStandin};
use rstest::rstest;
use serde_json::{Value, json};

/// Time limit for a change to become visible.
const POLL_TIMEOUT: Duration = Duration::from_secs(10);

async fn get_json(url: String) -> (u16, Value) {
    let mut response = awc::Client::default().get(url).send().await.unwrap();
    let body = response.body().await.unwrap();
    let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    (response.status().as_u16(), value)
}

/// Returns the status and JSON body of the response to a table operation; `None` if the connection
/// is dropped.
async fn call_operation(
    table: &TableStandin,
    operation: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let request = awc::Client::default()
        .post(table.url())
        .insert_header(("x-amz-target", format!("DynamoDB_20120810.{operation}")));
    let mut response = request.send_json(body).await.ok()?;
    let bytes = response.body().await.ok()?;
    Some((
        response.status().as_u16(),
        serde_json::from_slice(&bytes).ok()?,
    ))
}

fn item(key: &str, version: u64) -> Value {
    json!({ "k": { "S": key }, "v": { "N": version.to_string() }, "b": { "B": "AAA=" } })
}

fn insert(key: &str) -> Value {
    json!({ "Put": {
        "TableName": "t", "Item": item(key, 1), "ConditionExpression": "attribute_not_exists(k)",
    }})
}

fn replace(key: &str, version: u64, expected: u64) -> Value {
    json!({ "Put": {
        "TableName": "t", "Item": item(key, version), "ConditionExpression": "v = :v",
        "ExpressionAttributeValues": { ":v": { "N": expected.to_string() } },
    }})
}

async fn transact(table: &TableStandin, items: &[Value]) -> Option<u16> {
    let body = json!({ "TransactItems": items });
    call_operation(table, "TransactWriteItems", &body)
        .await
        .map(|(status, _)| status)
}

async fn version(table: &TableStandin, key: &str) -> Option<String> {
    let body = json!({ "TableName": "t", "Key": { "k": { "S": key } }, "ConsistentRead": true });
    let (status, row) = call_operation(table, "GetItem", &body).await.unwrap();
    assert_eq!(status, 200);
    row["Item"]["v"]["N"].as_str().map(str::to_owned)
}

#[rstest]
#[case::insert(&[insert("b")], 200, Some("1"))]
#[case::insert_present(&[insert("a")], 400, None)]
#[case::replace(&[replace("a", 2, 1), insert("b")], 200, Some("1"))]
#[case::replace_other_version(&[insert("b"), replace("a", 3, 2)], 400, None)]
#[case::same_row_twice(&[insert("b"), insert("b")], 400, None)]
#[actix_web::test]
async fn transactions_are_atomic(
    #[case] items: &[Value],
    #[case] status: u16,
    #[case] b_version: Option<&str>,
) {
    let table = TableStandin::start(TableOptions::default()).await.unwrap();
    assert_eq!(transact(&table, &[insert("a")]).await, Some(200));
    assert_eq!(transact(&table, items).await, Some(status));
    assert_eq!(version(&table, "b").await.as_deref(), b_version);
}

#[rstest]
#[case::up(TableMode::Up, Some(200), 1)]
#[case::down(TableMode::Down, Some(503), 0)]
#[case::slow(TableMode::Slow { delay_ms: 5 }, Some(200), 1)]
#[case::response_lost(TableMode::LoseAnswers { count: Some(1), drop: false }, Some(503), 1)]
#[case::connection_dropped(TableMode::LoseAnswers { count: Some(1), drop: true }, None, 1)]
#[actix_web::test]
async fn modes_determine_response_and_effect(
    #[case] mode: TableMode,
    #[case] status: Option<u16>,
    #[case] written: u64,
) {
    let table = TableStandin::start(TableOptions::default()).await.unwrap();
    table.control(TableControl::Mode(mode)).unwrap();
    assert_eq!(transact(&table, &[insert("a")]).await, status);
    assert_eq!(table.state().counters.transactions, written);
    table.control(TableControl::Mode(TableMode::Up)).unwrap();
    assert_eq!(version(&table, "a").await.is_some(), written == 1);
}

#[rstest]
#[case("mode", json!("down"), 200, json!("down"))]
#[case("mode", json!({ "slow": { "delay_ms": 7 } }), 200, json!({ "slow": { "delay_ms": 7 } }))]
#[case("mode", json!("sideways"), 400, json!("up"))]
#[case("unknown", json!({}), 400, json!("up"))]
#[actix_web::test]
async fn control_requests_change_the_state(
    #[case] name: &str,
    #[case] body: Value,
    #[case] status: u16,
    #[case] mode: Value,
) {
    let table = TableStandin::start(TableOptions::default()).await.unwrap();
    let url = format!("{}/control/{name}", table.url());
    let response = awc::Client::default().post(url).send_json(&body);
    assert_eq!(response.await.unwrap().status().as_u16(), status);
    let (_, state) = get_json(format!("{}/control/state", table.url())).await;
    assert_eq!(state["mode"], mode);
}

#[actix_web::test]
async fn stored_objects_can_be_read() {
    let table = TableStandin::start(TableOptions::default()).await.unwrap();
    let url = format!("{}/objects/a/b", table.url());
    let client = awc::Client::default();
    assert_eq!(client.get(&url).send().await.unwrap().status(), 404);
    assert_eq!(client.put(&url).send_body("x").await.unwrap().status(), 200);
    let body = client.get(&url).send().await.unwrap().body().await.unwrap();
    assert_eq!(body, "x");
}

#[rstest]
#[case::no_lag(Duration::ZERO, true)]
#[case::short_lag(Duration::from_millis(20), true)]
#[case::long_lag(Duration::from_mins(10), false)]
#[actix_web::test]
async fn list_changes_appear_after_the_lag(#[case] lag: Duration, #[case] visible: bool) {
    let options = InstanceListOptions {
        lag,
        ..InstanceListOptions::default()
    };
    let list = InstanceListStandin::start(options).await.unwrap();
    let instance = ListedInstance {
        id: "a1".to_owned(),
        role: "agent".to_owned(),
        data_centre: "boston-a".to_owned(),
        wire: "127.0.0.1:1".to_owned(),
        http: "127.0.0.1:2".to_owned(),
        leaving: false,
    };
    list.control(InstanceListControl::Add(instance)).unwrap();
    let deadline = Instant::now() + POLL_TIMEOUT;
    while visible && list.state().pending > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (_, answer) = get_json(format!("{}/instances", list.url())).await;
    assert_eq!(answer["instances"][0]["id"] == "a1", visible);
}

#[rstest]
#[case::shares_nothing(0.0, 0)]
#[case::shares_half(0.5, 2)]
#[actix_web::test]
async fn chunks_match_their_digests(#[case] fraction: f64, #[case] shared: usize) {
    let origin = OriginStandin::start(OriginOptions::default())
        .await
        .unwrap();
    let first = VersionSpec::new("press", "v1", 3500, 1000);
    let shares = SharedChunks {
        version: "v1".to_owned(),
        fraction,
    };
    let second = VersionSpec {
        shares: Some(shares),
        ..VersionSpec::new("press", "v2", 3500, 1000)
    };
    for spec in [first, second] {
        origin.control(OriginControl::Declare(spec)).unwrap();
    }
    let (_, v1) = get_json(format!("{}/manifests/press/v1", origin.url())).await;
    let (_, v2) = get_json(format!("{}/manifests/press/v2", origin.url())).await;
    assert_eq!(
        (
            v1["total_bytes"].as_u64(),
            v1["chunks"][3]["bytes"].as_u64()
        ),
        (Some(3500), Some(500))
    );
    let digests = v1["chunks"].as_array().unwrap();
    let others = v2["chunks"].as_array().unwrap();
    assert_eq!(
        digests
            .iter()
            .filter(|chunk| others.contains(chunk))
            .count(),
        shared
    );
    let mut total = blake3::Hasher::new();
    for chunk in digests {
        let digest = chunk["digest"].as_str().unwrap();
        let url = format!("{}/chunks/{digest}", origin.url());
        let body = awc::Client::default()
            .get(url)
            .send()
            .await
            .unwrap()
            .body()
            .await
            .unwrap();
        assert_eq!(blake3::hash(&body).to_hex().as_str(), digest);
        total.update(&body);
    }
    assert_eq!(v1["total_digest"], total.finalize().to_hex().as_str());
    assert_eq!(origin.state().counters.bytes_sent, 3500);
}

#[actix_web::test]
async fn corrupted_chunks_are_counted() {
    let origin = OriginStandin::start(OriginOptions::default())
        .await
        .unwrap();
    let spec = VersionSpec::new("press", "v1", 1000, 1000);
    origin.control(OriginControl::Declare(spec)).unwrap();
    let corrupt = OriginControl::Corrupt {
        fraction: 1.0,
        seed: Some(7),
    };
    origin.control(corrupt).unwrap();
    let (_, manifest) = get_json(format!("{}/manifests/press/v1", origin.url())).await;
    let digest = manifest["chunks"][0]["digest"].as_str().unwrap();
    let url = format!("{}/chunks/{digest}", origin.url());
    let body = awc::Client::default()
        .get(url)
        .send()
        .await
        .unwrap()
        .body()
        .await
        .unwrap();
    assert_ne!(blake3::hash(&body).to_hex().as_str(), digest);
    assert_eq!(origin.state().counters.corrupted, 1);
}
