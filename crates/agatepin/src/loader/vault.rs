//! Pieces of weights that an agent holds in memory, verified.

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

/// Versions that are kept: the one that is served, and the one that comes.
const KEPT_VERSIONS: usize = 2;

agatepin_core::value_type! {
    /// Pieces of one version.
    #[derive(Default)]
    pub struct PieceSet {
        /// Digests; none until they are known.
        pub digests: Option<PieceDigests>,
        /// Pieces that match their digest.
        pub pieces: BTreeMap<u32, Bytes>,
        /// Pieces that other agents asked for before they were here.
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

impl PieceSet {
    /// Whether `data` is the piece `piece`.
    #[must_use]
    pub fn matches(&self, piece: u32, data: &[u8]) -> bool {
        let digests = self.digests.as_ref();
        let wanted = digests.and_then(|digests| digests.digests.get(piece as usize));
        wanted.is_some_and(|wanted| *wanted == sha256(data))
    }

    /// Whether all pieces are here.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let digests = self.digests.as_ref();
        digests.is_some_and(|digests| digests.digests.len() == self.pieces.len())
    }
}

/// Pieces of all versions that an agent holds, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct PieceVault {
    sets: Rc<RefCell<BTreeMap<WeightsVersion, PieceSet>>>,
    changed: Rc<Notify>,
}

impl PieceVault {
    /// Reads or changes the set of `version`.
    pub fn with<Act, Out>(&self, version: WeightsVersion, act: Act) -> Out
    where
        Act: FnOnce(&mut PieceSet) -> Out,
    {
        let out = act(self.sets.borrow_mut().entry(version).or_default());
        self.changed.notify_waiters();
        out
    }

    /// Whether all pieces of `version` are here.
    #[must_use]
    pub fn is_complete(&self, version: WeightsVersion) -> bool {
        let sets = self.sets.borrow();
        sets.get(&version).is_some_and(PieceSet::is_complete)
    }

    /// The newest version that is here completely.
    #[must_use]
    pub fn newest_complete(&self) -> Option<WeightsVersion> {
        let sets = self.sets.borrow();
        let complete = sets.iter().filter(|(_, set)| set.is_complete());
        complete.map(|(version, _)| *version).next_back()
    }

    /// Notes that another agent asks for a piece.
    pub fn want(&self, version: WeightsVersion, piece: u32) {
        let mut sets = self.sets.borrow_mut();
        if let Some(set) = sets.get_mut(&version)
            && !set.pieces.contains_key(&piece)
        {
            set.wanted.insert(piece);
        }
    }

    /// Pieces that other agents wait for.
    #[must_use]
    pub fn wanted(&self, version: WeightsVersion) -> BTreeSet<u32> {
        let sets = self.sets.borrow();
        sets.get(&version)
            .map(|set| set.wanted.clone())
            .unwrap_or_default()
    }

    /// Forgets all but the newest versions.
    pub fn trim(&self) {
        let mut sets = self.sets.borrow_mut();
        while sets.len() > KEPT_VERSIONS {
            sets.pop_first();
        }
    }

    /// A piece; waits up to `wait` for it.
    pub async fn piece(
        &self,
        version: WeightsVersion,
        piece: u32,
        wait: Duration,
    ) -> Option<Bytes> {
        let find = |set: &PieceSet| set.pieces.get(&piece).cloned();
        self.wait_for(version, wait, find).await
    }

    /// Digests; waits up to `wait` for them.
    pub async fn digests(&self, version: WeightsVersion, wait: Duration) -> Option<PieceDigests> {
        self.wait_for(version, wait, |set| set.digests.clone())
            .await
    }

    async fn wait_for<Find, Out>(&self, version: u64, wait: Duration, find: Find) -> Option<Out>
    where
        Find: Fn(&PieceSet) -> Option<Out>,
    {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let found = self.sets.borrow().get(&version).and_then(&find);
            if found.is_some() {
                return found;
            }
            if timeout_at(until, changed).await.is_err() {
                return None;
            }
        }
    }
}
