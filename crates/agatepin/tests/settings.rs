//! Tests of the validation of settings files.

use agatepin::settings::reader::SectionReader;
use agatepin::settings::{AgentSettings, EntrySettings};
use assert_cmd::Command;
use rstest::rstest;

#[path = "support/certificates.rs"]
mod certificates;

use certificates::TestAuthority;

/// Valid settings of an entry with most fields left to their defaults.
const ENTRY_SETTINGS: &str = r#"
[process]
instance = "e1"
data_centre = "boston-a"
wire = "127.0.0.1:0"
http = "127.0.0.1:0"
[platform]
table = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9001"
origin = "http://127.0.0.1:9002"
timeout = "1s"
[link]
shared_key = "0123456789abcdef"
[operator]
address = "127.0.0.1:0"
token = "0123456789abcdef"
"#;

#[test]
fn valid_settings_are_read_and_defaults_filled_in() {
    let settings: EntrySettings = SectionReader::parse(ENTRY_SETTINGS).unwrap();
    assert_eq!(settings.platform.timeout.as_secs(), 1);
    assert_eq!(settings.calls.queue_length, 256);
}

#[rstest]
#[case("instance = \"e1\"", "instance = \"\"", "process.instance: ")]
#[case(
    "timeout = \"1s\"",
    "timeout = \"1ms\"",
    "platform.timeout: 1ms is not between"
)]
#[case("timeout = \"1s\"", "timeout = 1", "platform: ")]
#[case("wire = \"127.0.0.1:0\"", "", "process: missing field `wire`")]
#[case("[link]", "[link]\nheartbeats = 3", "link.heartbeats: unknown field")]
#[case("[link]", "[links]", "links: unknown section")]
#[case(
    "shared_key = \"0123456789abcdef\"",
    "",
    "link.shared_key: must be given"
)]
#[case("token = \"0123456789abcdef\"", "", "operator.token: must be given")]
fn an_invalid_field_is_reported_by_name(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let err = SectionReader::parse::<EntrySettings>(&ENTRY_SETTINGS.replace(from, to)).unwrap_err();
    assert!(err.to_string().contains(expected), "{err}");
}

#[test]
fn all_invalid_fields_are_reported_together() {
    let text = ENTRY_SETTINGS
        .replace("instance = \"e1\"", "instance = \"\"\ninstanz = 1")
        .replace("timeout = \"1s\"", "timeout = \"1ms\"")
        .replace("token = \"0123456789abcdef\"", "token = \"short\"");
    let err = SectionReader::parse::<EntrySettings>(&text).unwrap_err();
    let message = err.to_string();
    let fields = [
        "process.instanz",
        "process.instance",
        "platform.timeout",
        "operator.token",
    ];
    for field in fields {
        assert!(message.contains(field), "{field} is not in {message}");
    }
}

#[test]
fn agent_settings_require_an_upstream_and_have_no_operator_section() {
    let err = SectionReader::parse::<AgentSettings>(ENTRY_SETTINGS).unwrap_err();
    let message = err.to_string();
    assert!(
        message.contains("upstream: section is missing"),
        "{message}"
    );
    assert!(message.contains("operator: unknown section"), "{message}");
}

#[rstest]
#[case::links("[link]", "[link.tls]", "link.tls: certificate \"")]
#[case::operators("[operator]", "[operator.tls]", "operator.tls: certificate \"")]
fn check_reports_a_missing_tls_certificate(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let authority = TestAuthority::new();
    let mut files = authority.issue("agatepin");
    for missing in [false, true] {
        if missing {
            files.certificate = authority.write("missing.pem", None);
        }
        let text = ENTRY_SETTINGS.replace(
            from,
            &format!(
                "{to}\ncertificate = {:?}\nkey = {:?}\nauthority = {:?}\n{from}",
                files.certificate, files.key, files.authority
            ),
        );
        let path = authority.write("entry.toml", Some(&text));
        let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin-entry"));
        let output = command.arg("--check").arg("--settings").arg(&path);
        let output = output.output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(if missing { 2 } else { 0 }),
            "{stderr}"
        );
        assert_eq!(stderr.contains(expected), missing, "{stderr}");
    }
}
