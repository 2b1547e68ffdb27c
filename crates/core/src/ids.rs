//! Identifiers and digests that the modules share.

use std::fmt;

/// Name of one instance, as configured in its settings.
pub type InstanceId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of a model or adapter.
pub type ModelId = String;
/// Name of a version of the weights of a model or adapter.
pub type VersionId = String;
/// Name of an upstream.
pub type UpstreamId = String;
/// Name of a service. A plain service is one whose upstreams hold no model weights.
pub type ServiceId = String;
/// Id of a part of prompts that requests share.
pub type PartId = String;
/// Name of a customer.
pub type CustomerId = String;
/// Sequence number of a committed configuration; 0 before the first commit.
pub type RevisionId = u64;
/// Random number that a process generates when it starts; tells its restarts apart.
pub type IncarnationId = u64;
/// Sequence number of a connection among those that one incarnation has opened to one peer.
pub type SessionId = u64;
/// Random identifier of one attempt of a non-idempotent call.
pub type AttemptId = String;
/// Fencing token of the orders to an upstream. An upstream that checks fence numbers refuses an
/// order with a lower number than one it has accepted.
pub type FenceNumber = u64;

key_type! {
    /// Identifier of a request between an entry and an agent.
    pub struct RequestId {
        /// Incarnation of the entry that sent the request.
        pub entry: IncarnationId,
        /// Sequence number among the requests of that incarnation.
        pub number: u64,
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.number)
    }
}

key_type! {
    /// BLAKE3 digest of a byte string.
    pub struct ContentDigest([u8; 32]);
}

impl ContentDigest {
    /// Computes the digest of `data`.
    #[must_use]
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Returns the 32 bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Parses 64 hexadecimal digits; `None` if `text` is anything else.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Converts a slice of 32 bytes; `None` if it has another length.
    #[must_use]
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        Some(Self(bytes.try_into().ok()?))
    }
}

impl From<blake3::Hash> for ContentDigest {
    fn from(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}
