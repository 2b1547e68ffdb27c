//! Checks that the files under `examples/` are valid and agree with each other.

use std::path::{Path, PathBuf};

use agatepin::settings::{AgentSettings, EntrySettings, load};
use agatepin::{document, rpc};
use rstest::rstest;

/// Path of an example file of `user`.
fn example(user: &str, file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(user)
        .join(file)
}

#[rstest]
#[case("agence")]
#[case("quillmark")]
fn the_settings_and_the_document_of_a_user_agree(#[case] user: &str) {
    let entry: EntrySettings = load(&example(user, "entry.toml")).unwrap();
    let agent: AgentSettings = load(&example(user, "agent.toml")).unwrap();
    let text = std::fs::read_to_string(example(user, "cluster.toml")).unwrap();
    let config = document::parse(&text).unwrap();
    let centre_names: Vec<_> = config.data_centres.iter().map(|spec| &spec.name).collect();
    assert!(centre_names.contains(&&entry.process.data_centre));
    let own_upstream = |spec: &&rpc::UpstreamSpec| spec.name == agent.upstream.name;
    let upstream = config.upstreams.iter().find(own_upstream).unwrap();
    assert_eq!(upstream.data_centre, agent.process.data_centre);
    assert_eq!(config.upstreams.len(), 19);
    assert_eq!(config.customers.len(), 10);
}

#[rstest]
#[case("agence")]
#[case("quillmark")]
fn a_document_round_trips_through_toml(#[case] user: &str) {
    let text = std::fs::read_to_string(example(user, "cluster.toml")).unwrap();
    let config = document::parse(&text).unwrap();
    let printed = toml::to_string(&document::ConfigDocument::from(config.clone())).unwrap();
    assert_eq!(document::parse(&printed).unwrap(), config);
}
