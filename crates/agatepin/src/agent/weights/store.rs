//! In-memory store of verified chunks.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatepin_core::ids::ContentDigest;
use agatepin_core::manifest::WeightManifest;
use bytes::Bytes;

/// Verified chunks by digest, up to a maximum total size. Clones share the chunks.
#[derive(Clone, Debug)]
pub struct ChunkStore {
    chunks: Arc<Mutex<ChunkTable>>,
}

#[derive(Debug)]
struct ChunkTable {
    chunks: HashMap<ContentDigest, Bytes>,
    /// Digests of the chunks of the wanted version, which are never evicted.
    wanted: HashSet<ContentDigest>,
    /// Total size of `chunks`, in bytes.
    bytes: u64,
    /// Maximum total size of `chunks`, in bytes.
    max_bytes: u64,
}

impl ChunkStore {
    /// Creates an empty store for at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: u64) -> Self {
        let table = ChunkTable {
            chunks: HashMap::new(),
            wanted: HashSet::new(),
            bytes: 0,
            max_bytes,
        };
        Self {
            chunks: Arc::new(Mutex::new(table)),
        }
    }

    /// Returns the chunk with `digest`, if it is in the store.
    #[must_use]
    pub fn get(&self, digest: &ContentDigest) -> Option<Bytes> {
        self.lock().chunks.get(digest).cloned()
    }

    /// Whether the chunk with `digest` is in the store.
    #[must_use]
    pub fn contains(&self, digest: &ContentDigest) -> bool {
        self.lock().chunks.contains_key(digest)
    }

    /// Returns the total size of all chunks in the store, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    /// Sets the manifest whose chunks are wanted. Wanted chunks are not evicted.
    pub fn set_wanted(&self, manifest: &WeightManifest) {
        let digests = manifest.chunks.iter().map(|chunk| chunk.digest);
        self.lock().wanted = digests.collect();
    }

    /// Stores a chunk. If the total size would exceed the maximum, evicts chunks that are not
    /// wanted. Returns `false` if `data` does not have the digest `digest`, or does not fit.
    #[must_use]
    pub fn insert(&self, digest: ContentDigest, data: Bytes) -> bool {
        if ContentDigest::of(&data) != digest {
            return false;
        }
        let mut table = self.lock();
        if table.chunks.contains_key(&digest) {
            return true;
        }
        let bytes = data.len() as u64;
        if table.bytes + bytes > table.max_bytes {
            table.evict();
        }
        if table.bytes + bytes > table.max_bytes {
            return false;
        }
        table.bytes += bytes;
        table.chunks.insert(digest, data);
        true
    }

    /// Removes all chunks that are not wanted.
    pub fn evict(&self) {
        self.lock().evict();
    }

    /// Whether all chunks of `manifest` are in the store and, concatenated, have its total digest.
    #[must_use]
    pub fn verify(&self, manifest: &WeightManifest) -> bool {
        let mut hasher = blake3::Hasher::new();
        for chunk in &manifest.chunks {
            let Some(data) = self.get(&chunk.digest) else {
                return false;
            };
            hasher.update(&data);
        }
        ContentDigest::from(hasher.finalize()) == manifest.total_digest
    }

    fn lock(&self) -> MutexGuard<'_, ChunkTable> {
        self.chunks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChunkTable {
    fn evict(&mut self) {
        let wanted = &self.wanted;
        self.chunks.retain(|digest, _| wanted.contains(digest));
        self.bytes = self.chunks.values().map(|data| data.len() as u64).sum();
    }
}
