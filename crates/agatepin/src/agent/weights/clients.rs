//! HTTP clients of the weight origin (the server that stores the weights of all models) and the
//! engine. The clients are not `Send`: they are used on the thread that created them.

use std::fmt;
use std::time::Duration;

use agatepin_core::ids::{ContentDigest, FenceNumber};
use agatepin_core::manifest::{MAX_CHUNK_BYTES, ManifestError, WeightManifest};
use agatepin_core::placement::Placement;
use awc::http::StatusCode;
use awc::http::header::AUTHORIZATION;
use bytes::Bytes;

pub use super::encoding::EngineState;
use super::encoding::{LoadOrder, ManifestBody};
use crate::settings::{PlatformSettings, UpstreamSettings};

/// Maximum size of a body accepted as a manifest or as an answer of the engine, in bytes.
const MAX_MANIFEST_BYTES: usize = 16 * 1024 * 1024;
/// Time limit for one read of the engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a request to the origin or the engine.
#[derive(Debug)]
pub enum WeightError {
    /// The request got no answer, or the answer is incomplete or cannot be decoded; contains the
    /// cause.
    Transport(String),
    /// The answer's status is not 200.
    Status(StatusCode),
    /// The manifest is invalid.
    Manifest(ManifestError),
}

impl fmt::Display for WeightError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(message) => f.write_str(message),
            Self::Status(status) => write!(f, "server answered with status {status}"),
            Self::Manifest(err) => write!(f, "invalid manifest: {err}"),
        }
    }
}

impl std::error::Error for WeightError {}

impl From<ManifestError> for WeightError {
    fn from(err: ManifestError) -> Self {
        Self::Manifest(err)
    }
}

/// Decodes a manifest as the origin serves it.
///
/// # Errors
/// `body` is not the JSON of a manifest, or the manifest is invalid.
pub fn decode_manifest(body: &[u8]) -> Result<WeightManifest, WeightError> {
    let body: ManifestBody = serde_json::from_slice(body).map_err(transport)?;
    Ok(WeightManifest::try_from(body)?)
}

/// Decodes the state of an engine.
///
/// # Errors
/// `body` is not the JSON of a state.
pub fn decode_state(body: &[u8]) -> Result<EngineState, WeightError> {
    serde_json::from_slice(body).map_err(transport)
}

/// HTTP client of the weight origin.
#[derive(Clone)]
pub(super) struct OriginClient {
    client: awc::Client,
    url: String,
    timeout: Duration,
}

impl OriginClient {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let mut builder = awc::Client::builder().disable_redirects();
        if let Some(token) = &settings.token {
            builder = builder.add_default_header((AUTHORIZATION, format!("Bearer {token}")));
        }
        Self {
            client: builder.finish(),
            url: settings.origin.trim_end_matches('/').to_owned(),
            timeout: settings.timeout,
        }
    }

    /// Fetches the manifest of the wanted weights, and checks that it states their model and
    /// version.
    pub(super) async fn manifest(&self, wanted: &Placement) -> Result<WeightManifest, WeightError> {
        let url = format!("{}/manifests/{}/{}", self.url, wanted.model, wanted.version);
        let request = self.client.get(url).timeout(self.timeout);
        let body = read_body(request.send().await, MAX_MANIFEST_BYTES).await?;
        let manifest = decode_manifest(&body)?;
        if manifest.model != wanted.model || manifest.version != wanted.version {
            return Err(WeightError::Manifest(ManifestError::OtherModel {
                found: format!("{}/{}", manifest.model, manifest.version),
                wanted: format!("{}/{}", wanted.model, wanted.version),
            }));
        }
        Ok(manifest)
    }

    /// Fetches a chunk; fails after 10 minutes. The digest of the received bytes is not checked.
    pub(super) async fn chunk(&self, digest: ContentDigest) -> Result<Bytes, WeightError> {
        let url = format!("{}/chunks/{digest}", self.url);
        let request = self.client.get(url).timeout(Duration::from_mins(10));
        let limit = usize::try_from(MAX_CHUNK_BYTES).unwrap_or(usize::MAX);
        read_body(request.send().await, limit).await
    }
}

/// HTTP client of the engine beside the agent.
#[derive(Clone)]
pub(super) struct EngineClient {
    client: awc::Client,
    url: String,
    /// URL from which the engine is told to load chunks.
    source: String,
}

impl EngineClient {
    /// Creates a client that tells the engine to load chunks from the URL `source`.
    pub(super) fn new(settings: &UpstreamSettings, source: String) -> Self {
        Self {
            client: awc::Client::builder().disable_redirects().finish(),
            url: settings.url.trim_end_matches('/').to_owned(),
            source,
        }
    }

    /// Reads the engine's state.
    pub(super) async fn state(&self) -> Result<EngineState, WeightError> {
        let url = format!("{}/engine/state", self.url);
        let request = self.client.get(url).timeout(STATE_TIMEOUT);
        let body = read_body(request.send().await, MAX_MANIFEST_BYTES).await?;
        decode_state(&body)
    }

    /// Orders the engine to load `manifest`, and waits until it has loaded it, at most `timeout`.
    pub(super) async fn load(
        &self,
        manifest: &WeightManifest,
        fence: FenceNumber,
        timeout: Duration,
    ) -> Result<(), WeightError> {
        let order = LoadOrder::new(manifest, fence, self.source.clone());
        let url = format!("{}/engine/load", self.url);
        let request = self.client.post(url).timeout(timeout);
        read_body(request.send_json(&order).await, MAX_MANIFEST_BYTES).await?;
        Ok(())
    }
}

/// Reads the body of an answer with status 200, of at most `limit` bytes.
async fn read_body<Body>(
    result: Result<awc::ClientResponse<Body>, awc::error::SendRequestError>,
    limit: usize,
) -> Result<Bytes, WeightError>
where
    Body: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = result.map_err(transport)?;
    if response.status() != StatusCode::OK {
        return Err(WeightError::Status(response.status()));
    }
    response.body().limit(limit).await.map_err(transport)
}

fn transport<Failure>(err: Failure) -> WeightError
where
    Failure: fmt::Display,
{
    WeightError::Transport(err.to_string())
}
