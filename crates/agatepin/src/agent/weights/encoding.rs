//! JSON bodies of the weight origin's and the engine's HTTP APIs, and the bit sets of inventories.

use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::{ChunkSpec, ManifestError, WeightManifest};
use serde::{Deserialize, Serialize};

/// A manifest as the origin serves it. `total_bytes` and `total_digest` are the size and
/// the digest of all chunks, concatenated.
#[derive(Debug, Deserialize)]
pub(super) struct ManifestBody {
    model: String,
    version: String,
    base: Option<String>,
    tensor_parallel: u32,
    chunk_bytes: u64,
    total_bytes: u64,
    total_digest: String,
    chunks: Vec<ChunkBody>,
}

/// A chunk in a manifest or a load order.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ChunkBody {
    digest: String,
    bytes: u64,
}

/// State of an engine, as it answers `GET /engine/state`.
#[derive(Debug, Deserialize)]
pub struct EngineState {
    /// Digest of the weights that the engine serves, as hexadecimal digits; `None` if it serves
    /// none.
    pub(super) digest: Option<String>,
    /// Whether the engine is in a cold start.
    #[serde(default)]
    pub(super) cold: bool,
    /// Whether the engine is loading weights.
    #[serde(default)]
    pub(super) loading: bool,
}

/// Order to load weights, the body of `POST /engine/load`. `fence` is the agent's fence number;
/// `source` is the URL of the agent that serves the chunks.
#[derive(Debug, Serialize)]
pub(super) struct LoadOrder {
    model: String,
    version: String,
    digest: String,
    fence: u64,
    chunks: Vec<ChunkBody>,
    source: String,
}

impl TryFrom<ManifestBody> for WeightManifest {
    type Error = ManifestError;

    fn try_from(body: ManifestBody) -> Result<Self, ManifestError> {
        let mut chunks = Vec::with_capacity(body.chunks.len());
        for (index, chunk) in body.chunks.iter().enumerate() {
            let field = || format!("chunks[{index}].digest");
            chunks.push(ChunkSpec {
                digest: parse_digest(&chunk.digest, field)?,
                bytes: chunk.bytes,
            });
        }
        let manifest = Self {
            model: body.model,
            version: body.version,
            base: body.base,
            tensor_parallel: body.tensor_parallel,
            chunk_bytes: body.chunk_bytes,
            total_digest: parse_digest(&body.total_digest, || "total_digest".to_owned())?,
            chunks,
        };
        manifest.check(body.total_bytes)?;
        Ok(manifest)
    }
}

impl LoadOrder {
    /// Creates an order to load `manifest` from the agent at the URL `source`.
    pub(super) fn new(manifest: &WeightManifest, fence: u64, source: String) -> Self {
        let chunks = manifest.chunks.iter().map(|chunk| ChunkBody {
            digest: chunk.digest.to_string(),
            bytes: chunk.bytes,
        });
        Self {
            model: manifest.model.clone(),
            version: manifest.version.clone(),
            digest: manifest.total_digest.to_string(),
            fence,
            chunks: chunks.collect(),
            source,
        }
    }
}

fn parse_digest<Field>(text: &str, field: Field) -> Result<ContentDigest, ManifestError>
where
    Field: FnOnce() -> String,
{
    ContentDigest::from_hex(text).ok_or_else(|| ManifestError::Digest { field: field() })
}

/// Packs flags into bytes, eight to a byte, the lowest bit first.
pub(super) fn pack_bits(flags: &[bool]) -> Vec<u8> {
    let mut bytes = vec![0; flags.len().div_ceil(8)];
    for (index, flag) in flags.iter().enumerate() {
        bytes[index / 8] |= u8::from(*flag) << (index % 8);
    }
    bytes
}

/// Unpacks the first `count` flags of `bytes`. Flags beyond the end of `bytes` are unset.
pub(super) fn unpack_bits(bytes: &[u8], count: usize) -> Vec<bool> {
    let bit = |index: usize| {
        bytes
            .get(index / 8)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    };
    (0..count).map(bit).collect()
}
