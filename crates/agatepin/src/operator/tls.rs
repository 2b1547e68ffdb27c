//! TLS configuration of the operator RPC service.

use std::path::Path;
use std::time::Duration;

use tonic::transport::{Certificate, Identity, ServerTlsConfig};

use crate::settings::OperatorTls;

/// Maximum time for a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the server's certificate and key. If an authority is set, operators must present a
/// certificate that this authority signed.
pub(super) fn server_config(files: &OperatorTls) -> Result<ServerTlsConfig, String> {
    let identity = Identity::from_pem(read(&files.certificate)?, read(&files.key)?);
    let config = ServerTlsConfig::new()
        .identity(identity)
        .timeout(HANDSHAKE_TIMEOUT);
    let Some(authority) = &files.authority else {
        return Ok(config);
    };
    Ok(config.client_ca_root(Certificate::from_pem(read(authority)?)))
}

fn read(path: &Path) -> Result<Vec<u8>, String> {
    std::fs::read(path).map_err(|err| format!("file \"{}\": {err}", path.display()))
}
