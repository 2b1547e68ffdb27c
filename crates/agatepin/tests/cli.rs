//! Tests of the operators' command line: output, exit codes and retries against a fake entry.

use std::io::{Read, Write};
use std::net::SocketAddr;

use assert_cmd::Command;
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tonic::Code;

#[path = "support/fake_operator.rs"]
mod fake_operator;

use fake_operator::{FakeAnswer, FakeOperator};

/// The command `agatepin` with the words of `line` as arguments and without settings from the
/// environment.
fn agatepin(line: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    command.env_remove("AGATEPIN_ENTRY");
    command.env_remove("AGATEPIN_TOKEN");
    command.args(line.split_whitespace());
    command
}

/// Runs the command to its end. Returns its exit code, stdout and stderr.
fn run(command: &mut Command) -> (i32, String, String) {
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().unwrap();
    (code, text(&output.stdout), text(&output.stderr))
}

/// Address of a listener that is closed again: connections to it are refused.
fn closed_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // The port stays taken without a listener: given back, it could be that of another test's server.
    std::mem::forget(socket);
    address
}

#[rstest]
#[case("--help", "4  unavailable: nothing changed")]
#[case("config apply --help", "--expected-revision")]
#[case("config show --help", "Example: ")]
#[case("config status --help", "Example: ")]
#[case("config history --help", "Example: ")]
#[case("data-centre out --help", "Example: ")]
#[case("data-centre in --help", "Example: ")]
#[case("model deploy --help", "[default: 0]")]
#[case("model status --help", "--watch")]
#[case("status --help", "[default: table]")]
#[case("dump --help", "Example: ")]
#[case("completions --help", "Example: ")]
#[case("completions bash", "_agatepin()")]
fn help_and_completions_are_printed(#[case] line: &str, #[case] expected: &str) {
    let (code, stdout, _) = run(&mut agatepin(line));
    assert_eq!(code, 0);
    assert!(stdout.contains(expected), "{stdout}");
}

#[rstest]
#[case("status", "no entry is given")]
#[case("deploy", "unrecognized subcommand")]
#[case("model deploy press", "--version")]
#[case("config apply /no-such-file", "document \"/no-such-file\"")]
#[case("status --timeout soon", "--timeout")]
fn usage_errors_exit_with_code_2(#[case] line: &str, #[case] expected: &str) {
    let (code, _, stderr) = run(&mut agatepin(line));
    assert_eq!(code, 2);
    assert!(stderr.contains(expected), "{stderr}");
}

#[test]
fn all_errors_of_a_document_are_reported_together() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    let text =
        "[customers.a]\nweight = \"x\"\n[data_centres.b]\nregion = \"r\"\nouts = 1\n[zones]\n";
    file.write_all(text.as_bytes()).unwrap();
    let mut command = agatepin("config apply");
    let (code, _, stderr) = run(command.arg(file.path()));
    assert_eq!(code, 2);
    for field in [
        "customers[\"a\"]",
        "weight",
        "data_centres[\"b\"]",
        "outs",
        "zones",
    ] {
        assert!(stderr.contains(field), "{field} is not in {stderr}");
    }
}

#[rstest]
#[case("config show", "[customers.quillmark]")]
#[case("config show --format json", "\"revision\":8")]
#[case("config status", "behind")]
#[case("config history", "apply document")]
#[case("config history --format json", "\"action_id\":\"a-8\"")]
#[case("data-centre out boston-a", "revision 8")]
#[case("data-centre in boston-a --format json", "\"revision\":8")]
#[case("model deploy press --version v2 --watch", "2 of 2 replicas serve")]
#[case("model status press", "0 of 2 replicas serve")]
#[case("model status press --watch", "1 of 2 replicas serve")]
#[case("status", "cold, leaving")]
#[case("status --format json", "\"reason\":\"cold-full\"")]
fn each_command_prints_its_result(#[case] line: &str, #[case] expected: &str) {
    let (_, address) = FakeOperator::start(FakeAnswer::Accept);
    let (code, stdout, stderr) = run(agatepin(line).env("AGATEPIN_ENTRY", address.to_string()));
    assert_eq!(code, 0, "{stderr}");
    assert!(stdout.contains(expected), "{stdout}");
}

#[rstest]
#[case(Code::InvalidArgument, 2)]
#[case(Code::NotFound, 2)]
#[case(Code::Aborted, 3)]
#[case(Code::Unavailable, 4)]
#[case(Code::Internal, 1)]
fn the_exit_code_follows_from_the_status_of_the_refusal(
    #[case] refusal: Code,
    #[case] expected: i32,
) {
    let (_, address) = FakeOperator::start(FakeAnswer::Refuse(refusal));
    let line = format!("data-centre out x --entry {address}");
    let (code, _, stderr) = run(&mut agatepin(&line));
    assert_eq!(code, expected);
    assert!(stderr.contains("model \"x\" is refused"), "{stderr}");
}

/// A change whose answer is lost may be committed already. Sent to the next entry under a new
/// action id, it would be committed twice.
#[test]
fn a_retry_at_the_next_entry_keeps_the_action_id() {
    let (first, hanging) = FakeOperator::start(FakeAnswer::Hang);
    let (second, accepting) = FakeOperator::start(FakeAnswer::Accept);
    let closed = closed_address();
    let line = format!(
        "data-centre out x --entry {closed} --entry {hanging} --entry {accepting} \
         --timeout 1s --operator ada --token secret"
    );
    let (code, _, stderr) = run(&mut agatepin(&line));
    assert_eq!(code, 0, "{stderr}");
    let changes = first.changes.lock().unwrap().clone();
    assert_eq!(changes, *second.changes.lock().unwrap());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].1, "ada");
    assert_eq!(changes[0].2, "Bearer secret");
}

/// Exit code 4 promises that nothing changed, so the command must not return it for a request that
/// was sent but not answered.
#[rstest]
#[case::never_sent(false, 4, "Connection refused")]
#[case::answer_lost(true, 1, "repeat the command with --action-id a-1")]
fn only_a_request_that_was_never_sent_is_reported_as_unavailable(
    #[case] sent: bool,
    #[case] expected: i32,
    #[case] message: &str,
) {
    let address = if sent {
        FakeOperator::start(FakeAnswer::Hang).1
    } else {
        closed_address()
    };
    let line = format!("data-centre out x --entry {address} --timeout 1s --action-id a-1");
    let (code, _, stderr) = run(&mut agatepin(&line));
    assert_eq!(code, expected);
    assert!(stderr.contains(message), "{stderr}");
}

#[test]
fn dump_requests_the_state_from_the_given_process() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let length = stream.read(&mut request).unwrap();
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revision\":3}";
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8_lossy(&request[..length]).into_owned()
    });
    let (code, stdout, stderr) = run(&mut agatepin(&format!("dump {address}")));
    assert_eq!(code, 0, "{stderr}");
    assert_eq!(stdout, "{\"revision\":3}\n");
    assert!(server.join().unwrap().starts_with("GET /dump "));
}

#[test]
fn dump_of_an_unreachable_process_exits_with_code_4() {
    let address = closed_address();
    let (code, _, stderr) = run(&mut agatepin(&format!("dump {address}")));
    assert_eq!(code, 4);
    assert!(stderr.contains(&format!("process {address}")), "{stderr}");
}
