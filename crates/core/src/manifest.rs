//! Manifests, which list the chunks that make up one version of a model's weights.

use std::fmt;

use crate::ids::{ContentDigest, ModelId, VersionId};

/// Maximum number of chunks in one manifest.
pub const MAX_CHUNKS: usize = 65_536;
/// Maximum length of a chunk, in bytes.
pub const MAX_CHUNK_BYTES: u64 = 8 * 1024 * 1024;

value_type! {
    /// Digest and length of one chunk.
    #[derive(Copy, Hash)]
    pub struct ChunkSpec {
        /// Digest of the chunk's bytes.
        pub digest: ContentDigest,
        /// Length in bytes.
        pub bytes: u64,
    }

    /// Immutable list of the chunks of one version, identified by `total_digest`.
    pub struct WeightManifest {
        /// Model or adapter that the weights belong to.
        pub model: ModelId,
        /// Version of the model or adapter.
        pub version: VersionId,
        /// Base model that the adapter extends; `None` if the weights are those of a model.
        pub base: Option<ModelId>,
        /// Number of tensor-parallel shards that the weights are laid out for; at least 1.
        pub tensor_parallel: u32,
        /// Length of each chunk in bytes; the last one may be shorter.
        pub chunk_bytes: u64,
        /// Digest of the concatenated chunks.
        pub total_digest: ContentDigest,
        /// Chunks in the order of their position in the weights.
        pub chunks: Vec<ChunkSpec>,
    }

    /// Why a manifest is rejected.
    pub enum ManifestError {
        /// The manifest has no chunk, or more than [`MAX_CHUNKS`].
        ChunkCount {
            /// Number of chunks.
            count: usize,
        },
        /// A chunk is empty, longer than [`MAX_CHUNK_BYTES`] or not of the length that
        /// [`WeightManifest::chunk_bytes`] gives.
        ChunkLength {
            /// Position of the chunk, counted from 0.
            index: usize,
            /// Length of the chunk in bytes.
            bytes: u64,
        },
        /// The lengths of the chunks do not add up to the total that the manifest's document
        /// states.
        TotalLength {
            /// Sum of the chunk lengths in bytes.
            sum: u64,
            /// Total length that the manifest's document states, in bytes.
            stated: u64,
        },
        /// The number of tensor-parallel shards is 0.
        TensorParallel,
        /// A digest is not 64 hexadecimal digits.
        Digest {
            /// Field that holds the digest.
            field: String,
        },
        /// The manifest belongs to another model or version than the requested one.
        OtherModel {
            /// Model and version that the manifest states, separated by a slash.
            found: String,
            /// Model and version that were requested, separated by a slash.
            wanted: String,
        },
    }
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ChunkCount { count } => {
                write!(
                    f,
                    "manifest lists {count} chunks; 1 to {MAX_CHUNKS} are allowed"
                )
            }
            Self::ChunkLength { index, bytes } => {
                write!(
                    f,
                    "chunk {index} of the manifest has an invalid length of {bytes} bytes"
                )
            }
            Self::TotalLength { sum, stated } => {
                write!(
                    f,
                    "chunks have {sum} bytes, field \"total_bytes\" says {stated}"
                )
            }
            Self::TensorParallel => f.write_str("field \"tensor_parallel\" is 0"),
            Self::Digest { field } => write!(f, "field \"{field}\" is not a BLAKE3 digest"),
            Self::OtherModel { found, wanted } => {
                write!(f, "manifest is for \"{found}\", not for \"{wanted}\"")
            }
        }
    }
}

impl std::error::Error for ManifestError {}

impl WeightManifest {
    /// Returns the sum of the chunk lengths in bytes.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| chunk.bytes).sum()
    }

    /// Checks the number and lengths of the chunks against the limits, the layout and
    /// `stated_bytes`, the total length that the manifest's document states.
    ///
    /// # Errors
    /// The first violation found.
    pub fn check(&self, stated_bytes: u64) -> Result<(), ManifestError> {
        let count = self.chunks.len();
        if count == 0 || count > MAX_CHUNKS {
            return Err(ManifestError::ChunkCount { count });
        }
        if self.tensor_parallel == 0 {
            return Err(ManifestError::TensorParallel);
        }
        for (index, chunk) in self.chunks.iter().enumerate() {
            let bytes = chunk.bytes;
            let last = index + 1 == count;
            let fits = if last {
                bytes <= self.chunk_bytes
            } else {
                bytes == self.chunk_bytes
            };
            if bytes == 0 || bytes > MAX_CHUNK_BYTES || !fits {
                return Err(ManifestError::ChunkLength { index, bytes });
            }
        }
        let sum = self.total_bytes();
        if sum != stated_bytes {
            return Err(ManifestError::TotalLength {
                sum,
                stated: stated_bytes,
            });
        }
        Ok(())
    }
}
