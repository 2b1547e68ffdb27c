//! Flags for TLS to the entries: `--ca`, `--certificate`, `--key` and `--server-name`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};
use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use super::text;
use crate::client::CommandError;
use crate::wire::tls::CERTIFICATE_NAME;

/// The flags.
#[must_use]
pub fn args() -> [Arg; 4] {
    [
        file("ca").help("Authority of the entries' certificates, in PEM; plain calls without it [env: AGATEPIN_CA]"),
        file("certificate")
            .requires("key")
            .help("Operator's certificate, in PEM, where entries ask for one"),
        file("key")
            .requires("certificate")
            .help("Private key of the operator's certificate, in PEM"),
        Arg::new("server-name")
            .long("server-name")
            .value_name("NAME")
            .global(true)
            .default_value(CERTIFICATE_NAME)
            .help("Name that the entries' certificates carry"),
    ]
}

/// Reads the files that the flags name; none where `--ca` is not given.
///
/// # Errors
/// A file cannot be read, or a certificate is given without `--ca`.
pub fn read(matches: &ArgMatches) -> Result<Option<ClientTlsConfig>, CommandError> {
    let path = |name: &str| matches.get_one::<PathBuf>(name).cloned();
    let authority = path("ca").or_else(|| std::env::var_os("AGATEPIN_CA").map(PathBuf::from));
    let Some(authority) = authority else {
        if path("certificate").is_some() {
            let message = "--certificate is given without --ca".to_owned();
            return Err(CommandError::Input(message));
        }
        return Ok(None);
    };
    let config = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(read_file(&authority)?))
        .domain_name(text(matches, "server-name"));
    let (Some(certificate), Some(key)) = (path("certificate"), path("key")) else {
        return Ok(Some(config));
    };
    let identity = Identity::from_pem(read_file(&certificate)?, read_file(&key)?);
    Ok(Some(config.identity(identity)))
}

fn read_file(path: &PathBuf) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path)
        .map_err(|err| CommandError::Input(format!("file \"{}\": {err}", path.display())))
}

fn file(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .global(true)
        .value_parser(value_parser!(PathBuf))
}
