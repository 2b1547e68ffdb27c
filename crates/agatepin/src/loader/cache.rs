//! In-memory cache of verified pieces, by weights version.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use agatepin_core::relay::catalog::WeightsVersion;
use bytes::Bytes;
use ring::digest::{SHA256, digest};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::relay::ports::PieceDigests;

/// Maximum number of versions kept in memory: the one that the engine serves or is to load first, an older
/// announced one whose fetch is being finished, and the newest.
const MAX_CACHED_VERSIONS: usize = 3;

agatepin_core::value_type! {
    /// Pieces of one version.
    #[derive(Default)]
    pub struct VersionPieces {
        /// SHA-256 digests of all pieces; none until they are fetched.
        pub digests: Option<PieceDigests>,
        /// Pieces that match their digest, by number.
        pub pieces: BTreeMap<u32, Bytes>,
        /// Numbers of pieces that other agents requested before this agent had them.
        pub wanted: BTreeSet<u32>,
    }
}

/// SHA-256 of `data`.
#[must_use]
pub fn sha256(data: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    out.copy_from_slice(digest(&SHA256, data).as_ref());
    out
}

impl VersionPieces {
    /// Whether `data` matches the digest of the piece `piece`; false while digests are unknown.
    #[must_use]
    pub fn matches_digest(&self, piece: u32, data: &[u8]) -> bool {
        let digests = self.digests.as_ref();
        let expected = digests.and_then(|digests| digests.digests.get(piece as usize));
        expected.is_some_and(|expected| *expected == sha256(data))
    }

    /// Replaces the digests, and drops the pieces that do not match them.
    pub fn set_digests(&mut self, digests: PieceDigests) {
        self.digests = Some(digests);
        let mut pieces = std::mem::take(&mut self.pieces);
        pieces.retain(|piece, data| self.matches_digest(*piece, data));
        self.pieces = pieces;
    }

    /// Those of the pieces `wanted` that are cached. The number after the last piece stands for the
    /// digests.
    #[must_use]
    pub fn ready(&self, wanted: &[u32]) -> Vec<u32> {
        let digests_item = self.digests.as_ref().map(|digests| digests.digests.len());
        let is_ready = |piece: &u32| {
            self.pieces.contains_key(piece) || digests_item == usize::try_from(*piece).ok()
        };
        wanted.iter().copied().filter(is_ready).collect()
    }

    /// Whether the digests are known and all pieces are cached.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let digests = self.digests.as_ref();
        digests.is_some_and(|digests| digests.digests.len() == self.pieces.len())
    }
}

/// Pieces of the newest versions that an agent has, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct PieceCache {
    /// Pieces and digests of each version; at most [`MAX_CACHED_VERSIONS`] after an eviction.
    versions: Rc<RefCell<BTreeMap<WeightsVersion, VersionPieces>>>,
    /// Versions that are not evicted, one entry for each pin.
    pinned: Rc<RefCell<Vec<WeightsVersion>>>,
    /// Wakes the tasks that wait for pieces or digests.
    changed: Rc<Notify>,
}

/// Keeps a version from being evicted until it is dropped.
#[derive(Debug)]
pub struct VersionPin {
    cache: PieceCache,
    version: WeightsVersion,
}

impl Drop for VersionPin {
    fn drop(&mut self) {
        let mut pinned = self.cache.pinned.borrow_mut();
        let position = pinned.iter().position(|version| *version == self.version);
        if let Some(position) = position {
            pinned.swap_remove(position);
        }
    }
}

impl PieceCache {
    /// Keeps `version` cached for as long as the pin is held. It counts towards [`MAX_CACHED_VERSIONS`], so
    /// that unpinned versions are evicted sooner.
    #[must_use]
    pub fn pin(&self, version: WeightsVersion) -> VersionPin {
        self.pinned.borrow_mut().push(version);
        VersionPin {
            cache: self.clone(),
            version,
        }
    }

    /// Calls `act` on the cached pieces of `version`, a new empty set if it has none, and wakes the
    /// tasks that wait for pieces or digests if `act` added some.
    pub fn with<Act, Out>(&self, version: WeightsVersion, act: Act) -> Out
    where
        Act: FnOnce(&mut VersionPieces) -> Out,
    {
        let mut versions = self.versions.borrow_mut();
        let pieces = versions.entry(version).or_default();
        let held = |pieces: &VersionPieces| (pieces.pieces.len(), pieces.digests.is_some());
        let before = held(pieces);
        let out = act(pieces);
        if held(pieces) != before {
            self.changed.notify_waiters();
        }
        out
    }

    /// Whether all pieces of `version` are cached.
    #[must_use]
    pub fn is_complete(&self, version: WeightsVersion) -> bool {
        let versions = self.versions.borrow();
        versions
            .get(&version)
            .is_some_and(VersionPieces::is_complete)
    }

    /// The newest version whose pieces are all cached.
    #[must_use]
    pub fn newest_complete_version(&self) -> Option<WeightsVersion> {
        let versions = self.versions.borrow();
        let complete = versions.iter().filter(|(_, pieces)| pieces.is_complete());
        complete.map(|(version, _)| *version).next_back()
    }

    /// Records that another agent requested a piece. Does nothing if the piece is cached already,
    /// or if this agent holds no data of the version.
    pub fn record_wanted(&self, version: WeightsVersion, piece: u32) {
        let mut versions = self.versions.borrow_mut();
        if let Some(pieces) = versions.get_mut(&version)
            && !pieces.pieces.contains_key(&piece)
        {
            pieces.wanted.insert(piece);
        }
    }

    /// Number of cached pieces of a version, and their bytes.
    #[must_use]
    pub fn size(&self, version: WeightsVersion) -> (u32, u64) {
        let versions = self.versions.borrow();
        let pieces = versions.get(&version).map(|pieces| &pieces.pieces);
        let count = pieces.map_or(0, BTreeMap::len);
        let bytes: usize = pieces
            .into_iter()
            .flatten()
            .map(|(_, data)| data.len())
            .sum();
        (u32::try_from(count).unwrap_or(u32::MAX), bytes as u64)
    }

    /// Numbers of the pieces that other agents requested before this agent had them.
    #[must_use]
    pub fn wanted(&self, version: WeightsVersion) -> BTreeSet<u32> {
        let versions = self.versions.borrow();
        versions
            .get(&version)
            .map(|pieces| pieces.wanted.clone())
            .unwrap_or_default()
    }

    /// Drops the oldest versions beyond [`MAX_CACHED_VERSIONS`] that are not pinned.
    pub fn evict_old_versions(&self) {
        let mut versions = self.versions.borrow_mut();
        let pinned = self.pinned.borrow();
        while versions.len() > MAX_CACHED_VERSIONS {
            let mut unpinned = versions.keys().filter(|version| !pinned.contains(version));
            let Some(oldest) = unpinned.next().copied() else {
                return;
            };
            versions.remove(&oldest);
        }
    }

    /// A piece, as soon as it is cached; none if that takes longer than `wait`.
    pub async fn wait_for_piece(
        &self,
        version: WeightsVersion,
        piece: u32,
        wait: Duration,
    ) -> Option<Bytes> {
        let find = |pieces: &VersionPieces| pieces.pieces.get(&piece).cloned();
        self.wait_for(version, wait, find).await
    }

    /// Those of the pieces `wanted` that are cached, as soon as there is one; none if that takes
    /// longer than `wait`.
    pub async fn wait_for_any(
        &self,
        version: WeightsVersion,
        wanted: &[u32],
        wait: Duration,
    ) -> Option<Vec<u32>> {
        let find =
            |pieces: &VersionPieces| Some(pieces.ready(wanted)).filter(|ready| !ready.is_empty());
        self.wait_for(version, wait, find).await
    }

    /// A piece of another cached version with the digest of the piece `piece` of `version`.
    #[must_use]
    pub fn find_same_piece(&self, version: WeightsVersion, piece: u32) -> Option<Bytes> {
        let versions = self.versions.borrow();
        let digest = |pieces: &VersionPieces| {
            let digests = pieces.digests.as_ref()?;
            digests.digests.get(piece as usize).copied()
        };
        let expected = digest(versions.get(&version)?)?;
        let mut same = versions
            .values()
            .filter(|pieces| digest(pieces) == Some(expected));
        same.find_map(|pieces| pieces.pieces.get(&piece).cloned())
    }

    /// The digests of a version, as soon as they are known; none if that takes longer than `wait`.
    pub async fn wait_for_digests(
        &self,
        version: WeightsVersion,
        wait: Duration,
    ) -> Option<PieceDigests> {
        self.wait_for(version, wait, |pieces| pieces.digests.clone())
            .await
    }

    /// Result of `find` on the pieces of `version`, as soon as it is some; none if that takes
    /// longer than `wait`.
    async fn wait_for<Find, Out>(&self, version: u64, wait: Duration, find: Find) -> Option<Out>
    where
        Find: Fn(&VersionPieces) -> Option<Out>,
    {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let found = self.versions.borrow().get(&version).and_then(&find);
            if found.is_some() {
                return found;
            }
            if timeout_at(until, changed).await.is_err() {
                return None;
            }
        }
    }
}
