//! Runs the operators' command line, with names in place of the addresses, which differ in each
//! run.

use std::process::Command;

use actix_web::rt;

use super::Failure;
use super::cluster::TestCluster;

/// Runs the command line against an entry, by default the first one. Returns its output, then its
/// exit code where that is not 0.
///
/// In `words` and in the output, `{NAME}` stands for the HTTP address of a process; in `words`,
/// `{certificates}` stands for the directory of the certificates.
///
/// # Errors
///
/// The entry does not exist or has no operator address, or the command cannot be started.
pub async fn run(
    cluster: &TestCluster,
    entry: Option<&str>,
    words: &[&str],
) -> Result<String, Failure> {
    let operator = cluster.entry(entry)?.ready.operator.clone();
    let operator = operator.ok_or("the entry has no operator address")?;
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatepin"));
    command.env_remove("AGATEPIN_TOKEN");
    command.args(words.iter().map(|word| expand_placeholders(cluster, word)));
    command.args(["--entry", &operator]);
    let running = rt::task::spawn_blocking(move || command.output());
    let joined = running.await.map_err(|err| err.to_string())?;
    let output = joined.map_err(|err| err.to_string())?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    if !output.status.success() {
        let code = output.status.code().unwrap_or(-1);
        text.push_str("exit ");
        text.push_str(&code.to_string());
        text.push('\n');
    }
    Ok(mask_addresses(cluster, &text))
}

fn expand_placeholders(cluster: &TestCluster, word: &str) -> String {
    let mut word = cluster.expand_certificates(word);
    for (name, daemon) in &cluster.daemons {
        word = word.replace(&format!("{{{name}}}"), &daemon.ready.http);
    }
    word
}

fn mask_addresses(cluster: &TestCluster, text: &str) -> String {
    let mut text = text.to_owned();
    for (name, daemon) in &cluster.daemons {
        text = text.replace(&daemon.ready.http, &format!("{{{name}}}"));
        if let Some(operator) = &daemon.ready.operator {
            text = text.replace(operator, &format!("{{{name} operator}}"));
        }
    }
    text
}
