//! Tests of the stand-ins of the upstreams: model engine and plain service.

use std::time::{Duration, Instant};

use actix_web::{App, HttpResponse, HttpServer, web};
use agatepin_standins::engine::{EngineControl, EngineOptions, LoadedWeights};
use agatepin_standins::service::{ServiceControl, ServiceEcho, ServiceMode, ServiceOptions};
use agatepin_standins::{EngineStandin, ServiceStandin};
use futures_util::StreamExt;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};

const WEIGHTS: &str = "some weights";

async fn chunk() -> HttpResponse {
    HttpResponse::Ok().body(WEIGHTS)
}

/// Serves the weights as an agent does and returns the base URL.
fn serve_weights() -> String {
    let server =
        HttpServer::new(|| App::new().route("/weights/chunks/{digest}", web::get().to(chunk)))
            .workers(1)
            .disable_signals()
            .bind("127.0.0.1:0")
            .unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    format!("http://{address}")
}

/// Returns the status and body of the response; `None` if the connection is dropped.
async fn post(url: String, body: &Value) -> Option<(u16, String)> {
    let mut response = awc::Client::default()
        .post(url)
        .send_json(body)
        .await
        .ok()?;
    let bytes = response.body().await.ok()?;
    Some((
        response.status().as_u16(),
        String::from_utf8_lossy(&bytes).into_owned(),
    ))
}

async fn loaded_engine(options: EngineOptions) -> EngineStandin {
    let engine = EngineStandin::start(options).await.unwrap();
    let weights = LoadedWeights {
        model: "press".to_owned(),
        version: "v1".to_owned(),
        digest: "d1".to_owned(),
    };
    engine.control(EngineControl::SwapWeights(weights)).unwrap();
    engine
}

fn chat(content: &str, stream: bool) -> Value {
    json!({ "messages": [{ "role": "user", "content": content }], "stream": stream })
}

async fn complete(engine: &EngineStandin, body: &Value) -> Option<(u16, String)> {
    post(format!("{}/v1/chat/completions", engine.url()), body).await
}

#[rstest]
#[case::correct_digest_and_fence(WEIGHTS, true, 5, 200)]
#[case::wrong_digest("other weights", true, 5, 422)]
#[case::old_fence(WEIGHTS, true, 3, 409)]
#[case::old_fence_ignored(WEIGHTS, false, 3, 200)]
#[actix_web::test]
async fn loads_check_digest_and_fence(
    #[case] expected: &str,
    #[case] checks_fences: bool,
    #[case] fence: u64,
    #[case] status: u16,
) {
    let options = EngineOptions {
        checks_fences,
        ..EngineOptions::default()
    };
    let engine = EngineStandin::start(options).await.unwrap();
    let unload = post(
        format!("{}/engine/unload", engine.url()),
        &json!({ "fence": 4 }),
    )
    .await;
    assert_eq!(unload.unwrap().0, 200);
    let digest = blake3::hash(expected.as_bytes()).to_hex().to_string();
    let order = json!({
        "model": "press", "version": "v1", "digest": digest, "fence": fence,
        "chunks": [{ "digest": digest, "bytes": WEIGHTS.len() }], "source": serve_weights(),
    });
    let answer = post(format!("{}/engine/load", engine.url()), &order).await;
    assert_eq!(answer.unwrap().0, status);
    assert_eq!(engine.state().digest.is_some(), status == 200);
}

#[rstest]
#[case::buffered(false, "echo: roller 7")]
#[case::streamed(true, "data: [DONE]")]
#[actix_web::test]
async fn completions_echo_the_request(#[case] stream: bool, #[case] part: &str) {
    let engine = loaded_engine(EngineOptions::default()).await;
    let (status, text) = complete(&engine, &chat("roller 7", stream)).await.unwrap();
    assert_eq!(status, 200);
    assert!(text.contains(part), "{text}");
    assert_eq!(engine.state().counters.answered, 1);
}

#[rstest]
#[case::cold(60_000, 2, 0)]
#[case::cold_overload(60_000, 3, 1)]
#[case::warm(0, 4, 0)]
#[case::warm_overload(0, 5, 1)]
#[actix_web::test]
async fn overload_unloads_the_weights(
    #[case] cold_ms: u64,
    #[case] requests: usize,
    #[case] overloads: u64,
) {
    let options = EngineOptions {
        cold_limit: 2,
        warm_limit: 4,
        token_interval: Duration::from_millis(100),
        restart_delay: Duration::from_millis(1),
        ..EngineOptions::default()
    };
    let engine = loaded_engine(options).await;
    let cold = EngineControl::TurnCold {
        cold_ms,
        hidden: false,
    };
    engine.control(cold).unwrap();
    let body = chat("hello", false);
    let calls = (0..requests).map(|_| complete(&engine, &body));
    let answers = join_all(calls).await;
    let answered = answers
        .iter()
        .flatten()
        .filter(|answer| answer.0 == 200)
        .count();
    let state = engine.state();
    assert_eq!(state.counters.overloads, overloads);
    assert_eq!(answered == requests, overloads == 0);
    assert_eq!(state.digest.is_none(), overloads == 1);
}

#[actix_web::test]
async fn crash_breaks_requests_in_flight() {
    let options = EngineOptions {
        token_interval: Duration::from_mins(1),
        restart_delay: Duration::ZERO,
        ..EngineOptions::default()
    };
    let engine = loaded_engine(options).await;
    let slow_body = chat("hello", false);
    let slow = complete(&engine, &slow_body);
    let crash = async {
        while engine.state().in_flight == 0 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        complete(&engine, &chat("crash-the-engine", false)).await
    };
    let (slow, crash) = tokio::join!(slow, crash);
    assert_eq!((slow, crash), (None, None));
    let state = engine.state();
    assert_eq!((state.counters.crashes, state.digest), (1, None));
    assert_eq!(complete(&engine, &slow_body).await.unwrap().0, 503);
}

#[actix_web::test]
async fn cancelled_streams_are_counted() {
    let options = EngineOptions {
        token_interval: Duration::from_millis(5),
        tokens: 100_000,
        ..EngineOptions::default()
    };
    let engine = loaded_engine(options).await;
    let url = format!("{}/v1/chat/completions", engine.url());
    let request = awc::Client::default()
        .post(url)
        .send_json(&chat("hi", true));
    let mut response = request.await.unwrap();
    assert!(response.next().await.unwrap().is_ok());
    drop(response);
    let deadline = Instant::now() + Duration::from_secs(10);
    while engine.state().counters.streams_cut == 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let state = engine.state();
    assert_eq!((state.counters.streams_cut, state.in_flight), (1, 0));
}

#[rstest]
#[case::answer(ServiceMode::Answer, Some(200), 1)]
#[case::drop(ServiceMode::Drop, None, 1)]
#[case::fail(ServiceMode::Fail, Some(500), 0)]
#[actix_web::test]
async fn executions_are_counted(
    #[case] mode: ServiceMode,
    #[case] status: Option<u16>,
    #[case] executions: u64,
) {
    let service = ServiceStandin::start(ServiceOptions::default())
        .await
        .unwrap();
    let control = ServiceControl::Mode {
        mode,
        count: Some(1),
    };
    service.control(control).unwrap();
    let request = awc::Client::default()
        .post(format!("{}/orders/7?x=1", service.url()))
        .insert_header(("idempotency-key", "k1"))
        .insert_header(("x-customer", "dakar"));
    let answer = match request.send_body("hides").await {
        Ok(mut response) => {
            let body = response.body().await;
            body.ok().map(|body| (response.status().as_u16(), body))
        }
        Err(_) => None,
    };
    assert_eq!(answer.as_ref().map(|answer| answer.0), status);
    let counted = service.state().executions.get("k1").copied().unwrap_or(0);
    assert_eq!(counted, executions);
    let Some((200, body)) = answer else {
        return;
    };
    let echo: ServiceEcho = serde_json::from_slice(&body).unwrap();
    assert_eq!(
        (echo.path.as_str(), echo.body.as_str()),
        ("/orders/7", "hides")
    );
    assert_eq!(echo.customer.as_deref(), Some("dakar"));
}
