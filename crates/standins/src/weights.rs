//! Weights with pseudorandom content, generated from model, version and chunk index.
//!
//! Only the seeds are kept in memory; a chunk is generated again for each request.

use std::collections::BTreeMap;

use actix_web::web::Bytes;
use blake3::Hasher;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::origin::VersionSpec;

/// Seed and length from which the bytes of one chunk are generated.
#[derive(Clone, Copy, Debug)]
pub struct ChunkSource {
    seed: [u8; 32],
    bytes: usize,
}

/// One chunk in the JSON form of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ManifestChunk {
    /// BLAKE3 digest of the chunk in hexadecimal digits.
    pub digest: String,
    /// Length in bytes.
    pub bytes: u64,
}

/// Manifest of one weights version in its JSON form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WeightsManifest {
    /// Name of the model or adapter.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Base model if these are the weights of an adapter.
    pub base: Option<String>,
    /// Degree of tensor parallelism (number of shards).
    pub tensor_parallel: u32,
    /// Length in bytes of each chunk except the last, which may be shorter.
    pub chunk_bytes: u64,
    /// Sum of the lengths of all chunks in bytes.
    pub total_bytes: u64,
    /// BLAKE3 digest of the concatenated chunks in hexadecimal digits.
    pub total_digest: String,
    /// Chunks in the order in which they are concatenated.
    pub chunks: Vec<ManifestChunk>,
}

impl ChunkSource {
    fn new(model: &str, version: &str, index: u64, bytes: usize) -> Self {
        let mut hasher = Hasher::new();
        for part in [model, version] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&index.to_le_bytes());
        Self {
            seed: *hasher.finalize().as_bytes(),
            bytes,
        }
    }

    /// Generates the bytes, which are the same on every call.
    pub fn generate(&self) -> Bytes {
        let mut buffer = vec![0; self.bytes];
        ChaCha8Rng::from_seed(self.seed).fill_bytes(&mut buffer);
        Bytes::from(buffer)
    }
}

/// Builds the manifest of `spec` and adds the source of each chunk to `sources` under its digest.
pub fn build_manifest(
    spec: &VersionSpec,
    sources: &mut BTreeMap<String, ChunkSource>,
) -> WeightsManifest {
    let mut total = Hasher::new();
    let mut chunks = Vec::new();
    for index in 0..spec.chunk_count() {
        let length = spec.chunk_bytes.min(spec.bytes - index * spec.chunk_bytes);
        let version = spec.version_of_chunk(index);
        let size = usize::try_from(length).unwrap_or(usize::MAX);
        let source = ChunkSource::new(&spec.model, version, index, size);
        let bytes = source.generate();
        total.update(&bytes);
        let digest = blake3::hash(&bytes).to_hex().to_string();
        sources.insert(digest.clone(), source);
        chunks.push(ManifestChunk {
            digest,
            bytes: length,
        });
    }
    WeightsManifest {
        model: spec.model.clone(),
        version: spec.version.clone(),
        base: spec.base.clone(),
        tensor_parallel: spec.tensor_parallel,
        chunk_bytes: spec.chunk_bytes,
        total_bytes: spec.bytes,
        total_digest: total.finalize().to_hex().to_string(),
        chunks,
    }
}
