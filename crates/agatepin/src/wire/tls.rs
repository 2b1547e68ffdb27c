//! Mutual TLS on links: each side presents a certificate that is issued by the configured authority
//! and carries the configured name.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::client::verify_server_name;
use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector, client, server};

use super::link::LinkError;

/// Default of [`TlsFiles::name`].
pub const CERTIFICATE_NAME: &str = "agatepin";

agatepin_core::value_type! {
    /// PEM files for mutual TLS, and the name that peers must have.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct TlsFiles {
        /// Certificate of this process, followed by the intermediate certificates up to the
        /// authority.
        pub certificate: PathBuf,
        /// Private key of the certificate.
        pub key: PathBuf,
        /// Root certificates that the certificates of peers are verified against.
        pub authority: PathBuf,
        /// DNS name or IP address that the certificates of peers must carry.
        #[serde(default = "default_name")]
        pub name: String,
    }

    /// Why TLS cannot be set up.
    pub enum TlsError {
        /// A file cannot be read or parsed.
        File {
            /// Field of [`TlsFiles`] that gives the path.
            field: &'static str,
            /// Path of the file.
            path: PathBuf,
            /// Cause, as a text.
            reason: String,
        },
        /// The name is neither a DNS name nor an IP address.
        Name(String),
        /// The certificate and the key do not match, or rustls refuses them or the authority.
        Setup(String),
    }
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File {
                field,
                path,
                reason,
            } => write!(f, "{field} \"{}\": {reason}", path.display()),
            Self::Name(name) => write!(
                f,
                "name \"{name}\": is neither a DNS name nor an IP address"
            ),
            Self::Setup(reason) => write!(f, "TLS cannot be set up: {reason}"),
        }
    }
}

impl std::error::Error for TlsError {}

impl From<rustls::Error> for TlsError {
    fn from(err: rustls::Error) -> Self {
        Self::Setup(err.to_string())
    }
}

/// TLS configuration of links, for both the connecting and the accepting side.
#[derive(Clone, Debug)]
pub struct LinkTls {
    /// Configuration of the accepting side.
    server: Arc<ServerConfig>,
    /// Configuration of the connecting side.
    client: Arc<ClientConfig>,
    /// Name that the certificates of peers must carry.
    name: ServerName<'static>,
}

impl LinkTls {
    /// Reads the certificates and the key from `files`.
    ///
    /// # Errors
    /// A file cannot be read or parsed, the name is not valid, or the certificate and the key do
    /// not match.
    pub fn load(files: &TlsFiles) -> Result<Self, TlsError> {
        let name = ServerName::try_from(files.name.clone())
            .map_err(|_| TlsError::Name(files.name.clone()))?;
        let provider = Arc::new(ring::default_provider());
        let roots = Arc::new(read_authority(&files.authority)?);
        let chain = read_certificates("certificate", &files.certificate)?;
        let key = read_key(&files.key)?;
        let client = ClientConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()?
            .with_root_certificates(roots.clone())
            .with_client_auth_cert(chain.clone(), key.clone_key())?;
        let server = server_config(provider, Some(roots), chain, key)?;
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
            name,
        })
    }

    /// Performs the TLS handshake with a peer that connected, and checks its certificate and name.
    pub(super) async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<server::TlsStream<TcpStream>, LinkError> {
        let acceptor = TlsAcceptor::from(self.server.clone());
        let stream = acceptor.accept(stream).await.map_err(LinkError::Tls)?;
        self.check_name(stream.get_ref().1.peer_certificates())
            .map_err(|err| LinkError::Tls(std::io::Error::other(err)))?;
        Ok(stream)
    }

    /// Performs the TLS handshake on a connection that this process opened, and checks the
    /// certificate and the name of the peer.
    pub(super) async fn connect(
        &self,
        stream: TcpStream,
    ) -> Result<client::TlsStream<TcpStream>, LinkError> {
        let connector = TlsConnector::from(self.client.clone());
        let connecting = connector.connect(self.name.clone(), stream);
        connecting.await.map_err(LinkError::Tls)
    }

    /// Checks the name in `chain`, the certificates of a peer that connected. This is needed as
    /// rustls verifies the issuers of a client certificate but not its name.
    fn check_name(&self, chain: Option<&[CertificateDer<'_>]>) -> Result<(), rustls::Error> {
        let Some([certificate, ..]) = chain else {
            return Err(rustls::Error::NoCertificatesPresented);
        };
        verify_server_name(&ParsedCertificate::try_from(certificate)?, &self.name)
    }
}

/// Checks that a server can use the certificate, the key and, if given, the authority for client
/// certificates.
///
/// # Errors
/// A file cannot be read or parsed, or the certificate and the key do not match.
pub fn check_server_files(
    certificate: &Path,
    key: &Path,
    authority: Option<&Path>,
) -> Result<(), TlsError> {
    let roots = authority.map(read_authority).transpose()?.map(Arc::new);
    let chain = read_certificates("certificate", certificate)?;
    let provider = Arc::new(ring::default_provider());
    server_config(provider, roots, chain, read_key(key)?)?;
    Ok(())
}

/// Returns a server configuration with the certificates `chain` and their private `key`. It
/// requires client certificates, signed by one of `roots`, if `roots` is given.
fn server_config(
    provider: Arc<CryptoProvider>,
    roots: Option<Arc<RootCertStore>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig, TlsError> {
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()?;
    let Some(roots) = roots else {
        let builder = builder.with_no_client_auth();
        return Ok(builder.with_single_cert(chain, key)?);
    };
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider)
        .build()
        .map_err(|err| TlsError::Setup(err.to_string()))?;
    let builder = builder.with_client_cert_verifier(verifier);
    Ok(builder.with_single_cert(chain, key)?)
}

fn read_authority(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates("authority", path)? {
        let added = roots.add(certificate);
        added.map_err(|err| file_error("authority", path, &err))?;
    }
    Ok(roots)
}

fn read_certificates(
    field: &'static str,
    path: &Path,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|err| file_error(field, path, &err))?;
    if certificates.is_empty() {
        return Err(file_error(field, path, &"contains no PEM certificate"));
    }
    Ok(certificates)
}

fn read_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_file(path).map_err(|err| file_error("key", path, &err))
}

fn file_error<Reason>(field: &'static str, path: &Path, reason: &Reason) -> TlsError
where
    Reason: fmt::Display,
{
    TlsError::File {
        field,
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}

fn default_name() -> String {
    CERTIFICATE_NAME.to_owned()
}
