//! Tests of the conversion between the configuration and its RPC messages.

use std::collections::BTreeMap;

use agatepin::rpc;
use agatepin_core::config::{
    ChangeRecord, ClusterConfig, CustomerSpec, DataCentreSpec, ModelSpec, UpstreamKind,
    UpstreamSpec,
};
use agatepin_core::ids::ContentDigest;
use rstest::rstest;

fn upstream(kind: UpstreamKind) -> UpstreamSpec {
    UpstreamSpec {
        data_centre: "boston-a".into(),
        kind,
        checks_order_numbers: true,
        reports_load: false,
        may_repeat_calls: true,
        cold_limit: 2,
        warm_limit: 16,
        memory_bytes: 1 << 40,
    }
}

fn config() -> ClusterConfig {
    let centre = DataCentreSpec {
        region: "new-england".into(),
        out: true,
    };
    let model = ModelSpec {
        version: "v2".into(),
        replicas: 3,
        data_centres: vec!["boston-a".into()],
        base: Some("base".into()),
    };
    let customer = CustomerSpec {
        weight: 4,
        priority: 1,
        key_digest: Some(ContentDigest::of(b"key")),
    };
    ClusterConfig {
        revision: 7,
        data_centres: BTreeMap::from([("boston-a".into(), centre)]),
        models: BTreeMap::from([("press".into(), model)]),
        upstreams: BTreeMap::from([
            ("press-1".into(), upstream(UpstreamKind::Engine)),
            (
                "desk-1".into(),
                upstream(UpstreamKind::Service("desk".into())),
            ),
        ]),
        customers: BTreeMap::from([("quillmark".into(), customer)]),
        recent: vec![ChangeRecord {
            revision: 7,
            action_id: "a-1".into(),
            operator: "ada".into(),
            summary: "apply document".into(),
            unix_millis: 5,
        }],
    }
}

#[test]
fn a_configuration_round_trips_through_its_message() {
    let message = rpc::ClusterConfig::from(&config());
    assert_eq!(ClusterConfig::try_from(message), Ok(config()));
}

#[test]
fn all_invalid_fields_are_reported() {
    let mut message = rpc::ClusterConfig::from(&config());
    message.data_centres.push(message.data_centres[0].clone());
    for spec in &mut message.upstreams {
        spec.kind = 9;
    }
    message.customers[0].key_digest = "12".into();
    let errors = ClusterConfig::try_from(message).unwrap_err();
    let fields: Vec<_> = errors.iter().map(|err| err.field.as_str()).collect();
    let expected = [
        "data_centres[\"boston-a\"]",
        "upstreams[\"desk-1\"].kind",
        "upstreams[\"press-1\"].kind",
        "customers[\"quillmark\"].key_digest",
    ];
    assert_eq!(fields, expected);
}

#[rstest]
#[case(rpc::UpstreamKind::Engine, "desk", true)]
#[case(rpc::UpstreamKind::Engine, "", false)]
#[case(rpc::UpstreamKind::Service, "desk", false)]
fn an_engine_must_not_name_a_service(
    #[case] kind: rpc::UpstreamKind,
    #[case] service: &str,
    #[case] refused: bool,
) {
    let mut message = rpc::ClusterConfig::from(&config());
    message.upstreams[0].kind = kind.into();
    message.upstreams[0].service = service.into();
    assert_eq!(ClusterConfig::try_from(message).is_err(), refused);
}
