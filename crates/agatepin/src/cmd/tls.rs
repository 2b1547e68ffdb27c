//! Flags of the TLS connections to entries: `--ca`, `--certificate`, `--key` and `--server-name`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};
use tonic::transport::{Certificate, ClientTlsConfig, Identity};

use super::text_arg;
use crate::client::CommandError;
use crate::wire::tls::CERTIFICATE_NAME;

/// Definitions of the flags for clap.
#[must_use]
pub fn args() -> [Arg; 4] {
    [
        file_arg("ca").help("Authority of the entries' certificates, in PEM; plain calls without it [env: AGATEPIN_CA]"),
        file_arg("certificate")
            .requires("key")
            .help("Operator's certificate, in PEM, where entries ask for one"),
        file_arg("key")
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

/// Reads the files that the flags name. Returns `None`, for connections without TLS, if neither
/// `--ca` nor `AGATEPIN_CA` is given.
///
/// # Errors
/// A file cannot be read, or `--certificate` is given without `--ca` and `AGATEPIN_CA`.
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
        .domain_name(text_arg(matches, "server-name"));
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

fn file_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .global(true)
        .value_parser(value_parser!(PathBuf))
}
