//! TLS certificates from a certificate authority created for one test.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use agatepin::wire::tls::TlsFiles;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// A certificate authority and the directory with the files that it issued.
pub struct TestAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    directory: TempDir,
}

impl TestAuthority {
    /// Creates an authority with a self-signed certificate.
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        Self {
            issuer: CertifiedIssuer::self_signed(params, key).unwrap(),
            directory: TempDir::new().unwrap(),
        }
    }

    /// Writes a certificate for the host name `name`, its key and the authority's certificate. The
    /// files expect peers with the host name `agatepin`.
    pub fn issue(&self, name: &str) -> TlsFiles {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsFiles {
            certificate: self.write(&format!("{name}.pem"), Some(&certificate.pem())),
            key: self.write(&format!("{name}.key"), Some(&key.serialize_pem())),
            authority: self.write("authority.pem", Some(&self.issuer.pem())),
            name: "agatepin".to_owned(),
        }
    }

    /// Directory of the issued files.
    #[allow(dead_code, reason = "not every test file needs the path")]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Path of the file `name` in the directory; writes it only where `text` is given.
    pub fn write(&self, name: &str, text: Option<&str>) -> PathBuf {
        let path = self.directory.path().join(name);
        if let Some(text) = text {
            std::fs::write(&path, text).unwrap();
        }
        path
    }

    /// Completes the client's side of a TLS handshake without a client certificate.
    #[allow(dead_code, reason = "not every test file connects")]
    pub async fn connect_without_certificate(&self, address: SocketAddr) -> TlsStream<TcpStream> {
        let mut roots = RootCertStore::empty();
        let pem = self.issuer.pem();
        let authority = rustls::pki_types::CertificateDer::from_pem_slice(pem.as_bytes());
        roots.add(authority.unwrap()).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from("agatepin").unwrap();
        let stream = TcpStream::connect(address).await.unwrap();
        let connector = TlsConnector::from(Arc::new(config));
        connector.connect(name, stream).await.unwrap()
    }
}
