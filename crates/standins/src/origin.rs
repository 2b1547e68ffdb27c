//! Stand-in of the weight origin, which serves manifests and chunks of generated weights at a
//! limited rate.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use actix_web::web::{Bytes, Data, Path, ServiceConfig};
use actix_web::{Error, HttpResponse, web};
use futures_util::stream;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::pace::SendPacer;
use crate::server::{LOOPBACK_ANY_PORT, StandinRole, StandinServer};
use crate::sync::lock;
use crate::weights::{ChunkSource, WeightsManifest, build_manifest};

/// Maximum bytes for which a response waits at the pacer at once; a longer chunk is sent in several
/// slices of this size.
const SLICE_BYTES: usize = 16 * 1024;
/// Seed of the generator that selects the chunk responses to corrupt.
const DEFAULT_CORRUPTION_SEED: u64 = 1;

/// A running weight origin.
pub type OriginStandin = StandinServer<OriginRole>;

/// Options of the weight origin at its start.
#[derive(Clone, Debug)]
pub struct OriginOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bytes of chunks per second for all clients together; 0 means unlimited.
    pub bytes_per_second: u64,
}

impl Default for OriginOptions {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT,
            bytes_per_second: 0,
        }
    }
}

/// A weights version to generate.
#[derive(Clone, Debug, Deserialize)]
pub struct VersionSpec {
    /// Name of the model or adapter.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Total length in bytes.
    pub bytes: u64,
    /// Length in bytes of each chunk except the last, which may be shorter.
    pub chunk_bytes: u64,
    /// Base model if these are the weights of an adapter.
    #[serde(default)]
    pub base: Option<String>,
    /// Degree of tensor parallelism (number of shards).
    #[serde(default = "one_shard")]
    pub tensor_parallel: u32,
    /// Chunks that are identical to those of another version of the model.
    #[serde(default)]
    pub shares: Option<SharedChunks>,
}

/// Chunks that a version has in common with another version of the same model.
#[derive(Clone, Debug, Deserialize)]
pub struct SharedChunks {
    /// Name of the other version.
    pub version: String,
    /// Fraction of the chunks that are shared (0 to 1), counted from the first chunk.
    pub fraction: f64,
}

/// Change of the weight origin.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OriginControl {
    /// Adds a version or replaces the one with the same model and version.
    Declare(VersionSpec),
    /// Sets the send rate for all clients together.
    Rate {
        /// Bytes of chunks per second; 0 means unlimited.
        bytes_per_second: u64,
    },
    /// Flips one bit in some of the chunk responses.
    Corrupt {
        /// Fraction of the responses to corrupt, clamped to 0 to 1.
        fraction: f64,
        /// Seed of the generator that selects the responses; 1 if absent.
        #[serde(default)]
        seed: Option<u64>,
    },
    /// Sets whether all requests fail with status 503.
    Down {
        /// Whether requests fail.
        down: bool,
    },
    /// Sets all counters to zero.
    ResetCounters,
}

/// Requests and bytes since the start or the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OriginCounters {
    /// Manifest requests received while the origin was up.
    pub manifest_requests: u64,
    /// Chunk requests received while the origin was up.
    pub chunk_requests: u64,
    /// Bytes of chunks sent.
    pub bytes_sent: u64,
    /// Chunk responses that were corrupted.
    pub corrupted: u64,
}

/// State of the weight origin that a test can read.
#[derive(Clone, Debug, Serialize)]
pub struct OriginState {
    /// Requests and bytes since the start or the last reset.
    pub counters: OriginCounters,
    /// Total digest of each version in hexadecimal digits, by `MODEL/VERSION`.
    pub digests: BTreeMap<String, String>,
    /// Whether requests fail with status 503.
    pub down: bool,
}

/// Role of the weight origin.
pub struct OriginRole {
    store: Mutex<OriginStore>,
    pacer: SendPacer,
}

struct OriginStore {
    /// Manifest of each declared version, by `MODEL/VERSION`.
    manifests: BTreeMap<String, WeightsManifest>,
    /// Source of each chunk by its digest.
    sources: BTreeMap<String, ChunkSource>,
    counters: OriginCounters,
    /// Fraction of the chunk responses to corrupt (0 to 1).
    corrupt_fraction: f64,
    /// Generator that selects the responses to corrupt.
    corrupt_rng: ChaCha8Rng,
    /// Whether all requests fail with status 503.
    down: bool,
}

impl VersionSpec {
    /// Returns the specification of a version of `bytes` bytes in one shard, which shares no
    /// chunks and is not an adapter.
    #[must_use]
    pub fn new(model: &str, version: &str, bytes: u64, chunk_bytes: u64) -> Self {
        Self {
            model: model.to_owned(),
            version: version.to_owned(),
            bytes,
            chunk_bytes,
            base: None,
            tensor_parallel: 1,
            shares: None,
        }
    }

    /// Returns the number of chunks.
    ///
    /// # Panics
    /// Panics if `chunk_bytes` is 0.
    #[must_use]
    pub fn chunk_count(&self) -> u64 {
        self.bytes.div_ceil(self.chunk_bytes)
    }

    /// Returns the name of the version that determines the content of the chunk at `index`.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn version_of_chunk(&self, index: u64) -> &str {
        let Some(shares) = &self.shares else {
            return &self.version;
        };
        if (index as f64) < shares.fraction * self.chunk_count() as f64 {
            &shares.version
        } else {
            &self.version
        }
    }

    fn validate(&self) -> Result<(), String> {
        if self.bytes == 0 || self.chunk_bytes == 0 {
            let name = format!("{}/{}", self.model, self.version);
            return Err(format!(
                "version \"{name}\": bytes and chunk_bytes must not be 0"
            ));
        }
        Ok(())
    }
}

impl StandinServer<OriginRole> {
    /// Starts the weight origin.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    #[allow(clippy::unused_async)]
    pub async fn start(options: OriginOptions) -> io::Result<Self> {
        let store = OriginStore {
            manifests: BTreeMap::new(),
            sources: BTreeMap::new(),
            counters: OriginCounters::default(),
            corrupt_fraction: 0.0,
            corrupt_rng: ChaCha8Rng::seed_from_u64(DEFAULT_CORRUPTION_SEED),
            down: false,
        };
        let role = OriginRole {
            store: Mutex::new(store),
            pacer: SendPacer::new(options.bytes_per_second),
        };
        Self::serve(role, options.listen)
    }
}

impl StandinRole for OriginRole {
    type Control = OriginControl;
    type State = OriginState;

    fn control(&self, control: OriginControl) -> Result<(), String> {
        let mut store = lock(&self.store);
        match control {
            OriginControl::Declare(spec) => store.declare(&spec)?,
            OriginControl::Rate { bytes_per_second } => self.pacer.set_rate(bytes_per_second),
            OriginControl::Corrupt { fraction, seed } => {
                store.corrupt_fraction = fraction.clamp(0.0, 1.0);
                let seed = seed.unwrap_or(DEFAULT_CORRUPTION_SEED);
                store.corrupt_rng = ChaCha8Rng::seed_from_u64(seed);
            }
            OriginControl::Down { down } => store.down = down,
            OriginControl::ResetCounters => store.counters = OriginCounters::default(),
        }
        Ok(())
    }

    fn state(&self) -> OriginState {
        let store = lock(&self.store);
        let digest = |(name, manifest): (&String, &WeightsManifest)| {
            (name.clone(), manifest.total_digest.clone())
        };
        OriginState {
            counters: store.counters,
            digests: store.manifests.iter().map(digest).collect(),
            down: store.down,
        }
    }

    fn routes(config: &mut ServiceConfig) {
        config
            .route("/manifests/{model}/{version}", web::get().to(get_manifest))
            .route("/chunks/{digest}", web::get().to(get_chunk));
    }
}

impl OriginStore {
    fn declare(&mut self, spec: &VersionSpec) -> Result<(), String> {
        spec.validate()?;
        let manifest = build_manifest(spec, &mut self.sources);
        let name = format!("{}/{}", spec.model, spec.version);
        self.manifests.insert(name, manifest);
        Ok(())
    }

    /// Generates the chunk with `digest`, corrupted if the generator selects this response.
    fn read_chunk(&mut self, digest: &str) -> Option<Bytes> {
        self.counters.chunk_requests += 1;
        let bytes = self.sources.get(digest)?.generate();
        if !self.corrupt_rng.random_bool(self.corrupt_fraction) {
            return Some(bytes);
        }
        self.counters.corrupted += 1;
        let mut corrupted_bytes = bytes.to_vec();
        let index = self.corrupt_rng.random_range(0..corrupted_bytes.len());
        corrupted_bytes[index] ^= 1;
        Some(Bytes::from(corrupted_bytes))
    }
}

async fn get_manifest(role: Data<OriginRole>, path: Path<(String, String)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    let mut store = lock(&role.store);
    if store.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    store.counters.manifest_requests += 1;
    match store.manifests.get(&format!("{model}/{version}")) {
        Some(manifest) => HttpResponse::Ok().json(manifest),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn get_chunk(role: Data<OriginRole>, digest: Path<String>) -> HttpResponse {
    let chunk = {
        let mut store = lock(&role.store);
        if store.down {
            return HttpResponse::ServiceUnavailable().finish();
        }
        store.read_chunk(&digest)
    };
    let Some(bytes) = chunk else {
        return HttpResponse::NotFound().finish();
    };
    let length = bytes.len() as u64;
    let slices = stream::unfold((role, bytes), |(role, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let slice = rest.split_to(SLICE_BYTES.min(rest.len()));
        role.pacer.wait(slice.len()).await;
        lock(&role.store).counters.bytes_sent += slice.len() as u64;
        Some((Ok::<_, Error>(slice), (role, rest)))
    });
    HttpResponse::Ok()
        .no_chunking(length)
        .streaming(Box::pin(slices))
}

fn one_shard() -> u32 {
    1
}
