//! Checks that the operations manual lists exactly the settings, metrics and errors of the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use agatepin::daemon::Daemon;
use agatepin::entry::EntryDaemon;
use agatepin::settings::reader::{SectionReader, struct_fields};
use agatepin::settings::{
    AgentSettings, CallSettings, EntrySettings, HttpSettings, LinkSettings, OperatorSettings,
    OperatorTls, PlatformSettings, ProcessSettings, UpstreamSettings, WeightSettings,
};
use agatepin::wire::frames::RefusalReason;
use agatepin::wire::tls::TlsFiles;

/// The operations manual.
const MANUAL: &str = include_str!("../../../docs/OPERATIONS.md");
/// Source that defines the error codes of the HTTP API for callers.
const REPLY_SOURCE: &str = include_str!("../src/entry/reply.rs");
/// Source that defines the reasons for which a link is refused.
const LINK_SOURCE: &str = include_str!("../src/wire/link.rs");

type NameSet = BTreeSet<String>;

/// The fields of a section, each as `section.field`.
fn qualified_names(section: &str, fields: &[&str]) -> NameSet {
    fields
        .iter()
        .map(|field| format!("{section}.{field}"))
        .collect()
}

/// Fields of all sections, without those that are sections themselves.
fn settings_in_code() -> NameSet {
    let sections = [
        qualified_names("process", struct_fields::<ProcessSettings>()),
        qualified_names("platform", struct_fields::<PlatformSettings>()),
        qualified_names("http", struct_fields::<HttpSettings>()),
        qualified_names("link", struct_fields::<LinkSettings>()),
        qualified_names("link.tls", struct_fields::<TlsFiles>()),
        qualified_names("operator", struct_fields::<OperatorSettings>()),
        qualified_names("operator.tls", struct_fields::<OperatorTls>()),
        qualified_names("calls", struct_fields::<CallSettings>()),
        qualified_names("upstream", struct_fields::<UpstreamSettings>()),
        qualified_names("weights", struct_fields::<WeightSettings>()),
    ];
    let mut all: NameSet = sections.into_iter().flatten().collect();
    all.remove("link.tls");
    all.remove("operator.tls");
    all
}

/// Texts in backquotes in the first column of the tables under the heading `title`.
fn names_in_tables(title: &str) -> NameSet {
    let start = MANUAL.find(&format!("\n{title}\n")).expect("heading");
    let body = &MANUAL[start + title.len() + 2..];
    let level = title.split(' ').next().unwrap();
    let end = body.find(&format!("\n{level} ")).unwrap_or(body.len());
    let mut listed = NameSet::new();
    for line in body[..end].lines() {
        let Some(row) = line.strip_prefix("| ") else {
            continue;
        };
        let column = row.split(" | ").next().unwrap();
        let quoted = column.split('`').skip(1).step_by(2);
        listed.extend(quoted.map(ToOwned::to_owned));
    }
    listed
}

/// Adds the string literals of all source files below `directory` to `found`. Which pieces between
/// quotes are literals depends on the escaped quotes before them, so all pieces are added.
fn collect_literals(directory: &Path, found: &mut NameSet) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_literals(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        found.extend(text.split('"').skip(1).step_by(2).map(ToOwned::to_owned));
        found.extend(text.split('"').skip(2).step_by(2).map(ToOwned::to_owned));
    }
}

/// String literals of the sources that have the form of a metric name.
fn metrics_in_code() -> NameSet {
    let mut found = NameSet::new();
    collect_literals(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut found,
    );
    let is_name = |text: &String| {
        let rest = text.strip_prefix("agatepin_");
        rest.is_some_and(|rest| {
            rest.bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
        })
    };
    let mut metrics: NameSet = found.into_iter().filter(is_name).collect();
    // The name of the core crate, not of a metric.
    metrics.remove("agatepin_core");
    metrics
}

/// A section that is missing from `settings_in_code` would never be compared with the manual.
#[test]
fn the_settings_of_all_sections_are_compared() {
    let listed = settings_in_code();
    for section in [
        struct_fields::<EntrySettings>(),
        struct_fields::<AgentSettings>(),
    ]
    .concat()
    {
        let prefix = format!("{section}.");
        assert!(
            listed.iter().any(|name| name.starts_with(&prefix)),
            "{section}"
        );
    }
}

#[test]
fn documented_settings_match_the_code() {
    assert_eq!(names_in_tables("## Settings"), settings_in_code());
}

#[test]
fn documented_metrics_match_the_code() {
    assert_eq!(names_in_tables("## Metrics"), metrics_in_code());
}

#[test]
fn documented_refusal_reasons_match_the_wire_protocol() {
    let reasons = (1..64).filter_map(|number| RefusalReason::try_from(number).ok());
    let reasons: NameSet = reasons
        .map(|reason| reason.as_str_name().to_owned())
        .collect();
    assert_eq!(names_in_tables("### Reasons"), reasons);
}

#[test]
fn documented_error_codes_match_the_replies() {
    let codes = REPLY_SOURCE
        .split("StatusCode::")
        .skip(1)
        .filter_map(|part| {
            // The code follows the status, on the same line or where rustfmt breaks it.
            let after = part
                .split_once(", \"")
                .or_else(|| part.split_once(",\n            \""))?;
            let only_constant = after
                .0
                .bytes()
                .all(|byte| byte.is_ascii_uppercase() || byte == b'_');
            only_constant.then(|| after.1.split('"').next().unwrap().to_owned())
        });
    assert_eq!(names_in_tables("### Error codes"), codes.collect());
}

#[test]
fn documented_link_errors_match_the_code() {
    let arms = LINK_SOURCE.split("=> \"").skip(1);
    let reasons = arms.map(|arm| arm.split('"').next().unwrap().to_owned());
    assert_eq!(names_in_tables("### Refused links"), reasons.collect());
}

/// Also covers metric names that do not stand in the sources as a literal.
#[actix::test]
async fn metrics_of_a_running_entry_are_documented() {
    let text = "[process]\ninstance = \"e1\"\ndata_centre = \"here\"\n\
         wire = \"127.0.0.1:0\"\nhttp = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"http://127.0.0.1:9\"\ninstances = \"http://127.0.0.1:9\"\n\
         origin = \"http://127.0.0.1:9\"\n[link]\nallow_plain = true\n\
         [operator]\naddress = \"127.0.0.1:0\"\nallow_plain = true\n";
    let settings: EntrySettings = SectionReader::parse(text).unwrap();
    let entry = EntryDaemon::start(settings).await.unwrap();
    let url = format!("http://{}/metrics", entry.ready().http);
    let mut response = awc::Client::default().get(url).send().await.unwrap();
    let body = response.body().await.unwrap();
    let listed = names_in_tables("## Metrics");
    let mut checked = 0;
    for line in String::from_utf8_lossy(&body).lines() {
        let Some(name) = line.strip_prefix("# TYPE ") else {
            continue;
        };
        let name = name.split(' ').next().unwrap();
        assert!(listed.contains(name), "{name} is not in the manual");
        checked += 1;
    }
    assert!(checked > 0);
    entry.stop_now().await;
}
