//! Tests of the admin pages that every daemon serves: health, dump and metrics.

use actix_web::{App, test as harness};
use agatepin::bearer::BearerCheck;
use agatepin::http_admin::{DumpSource, configure};
use agatepin::metrics;
use prometheus::Registry;
use rstest::rstest;
use serde_json::{Value, json};

/// Source of a constant state dump.
#[derive(Clone)]
struct FixedDump;

impl DumpSource for FixedDump {
    fn dump(&self) -> Value {
        json!({ "revision": 3 })
    }
}

#[rstest]
#[case("/healthz", "ok\n")]
#[case("/dump", "{\"revision\":3}")]
#[case("/metrics", "agatepin_refusals_total{reason=\"cold\"} 2")]
#[case("/metrics", "agatepin_in_flight{upstream=\"press-1\"} 5")]
#[case("/metrics", "agatepin_first_byte_seconds_count{model=\"press\"} 1")]
#[actix::test]
async fn each_page_is_served(#[case] path: &str, #[case] expected: &str) {
    let registry = Registry::new();
    let refusals = metrics::counter(
        &registry,
        "agatepin_refusals_total",
        "Refusals",
        &["reason"],
    )
    .unwrap();
    refusals.with_label_values(&["cold"]).inc_by(2);
    let in_flight =
        metrics::gauge(&registry, "agatepin_in_flight", "Calls", &["upstream"]).unwrap();
    in_flight.with_label_values(&["press-1"]).set(5);
    let first_byte =
        metrics::histogram(&registry, "agatepin_first_byte_seconds", "Wait", &["model"]).unwrap();
    first_byte.with_label_values(&["press"]).observe(0.1);
    let check = BearerCheck::default();
    let app = App::new()
        .configure(|config| configure(config, FixedDump, registry.clone(), check.clone()));
    let service = harness::init_service(app).await;
    let request = harness::TestRequest::get().uri(path).to_request();
    let body = harness::call_and_read_body(&service, request).await;
    let text = String::from_utf8_lossy(&body);
    assert!(text.contains(expected), "{text}");
}

#[test]
fn a_metric_name_is_registered_only_once() {
    let registry = Registry::new();
    metrics::gauge(&registry, "agatepin_in_flight", "Calls", &[]).unwrap();
    assert!(metrics::gauge(&registry, "agatepin_in_flight", "Calls", &[]).is_err());
}

#[rstest]
#[case("/dump", "", 401)]
#[case("/dump", "Bearer another", 401)]
#[case("/dump", "Basic 0123456789abcdef", 401)]
#[case("/dump", "Bearer 0123456789abcdef", 200)]
#[case("/metrics", "", 401)]
#[case("/metrics", "Bearer 0123456789abcdef", 200)]
#[case("/healthz", "", 200)]
#[actix::test]
async fn dump_and_metrics_require_the_token(
    #[case] path: &str,
    #[case] header: &str,
    #[case] status: u16,
) {
    let check = BearerCheck::new(Some("0123456789abcdef"));
    let app =
        App::new().configure(|config| configure(config, FixedDump, Registry::new(), check.clone()));
    let service = harness::init_service(app).await;
    let mut request = harness::TestRequest::get().uri(path);
    if !header.is_empty() {
        request = request.insert_header(("authorization", header));
    }
    let response = harness::call_service(&service, request.to_request()).await;
    assert_eq!(response.status().as_u16(), status);
}
