//! Limits on the links that other processes hold open, and on introductions in progress.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::frames::LinkPurpose;
use super::link::{LinkError, LinkPolicy};

/// Permit for one open link or introduction; dropping it lets another one begin.
pub type LinkPermit = OwnedSemaphorePermit;

/// Permits for accepted links, counted by purpose, and for introductions. Clones share the counts.
#[derive(Clone, Debug)]
pub struct LinkAdmission {
    introductions: Arc<Semaphore>,
    calls: Arc<Semaphore>,
    chunks: Arc<Semaphore>,
    spread: Arc<Semaphore>,
}

impl LinkAdmission {
    /// Allows as many links of each purpose, and as many introductions, as `policy` does.
    #[must_use]
    pub fn new(policy: &LinkPolicy) -> Self {
        let permits = || Arc::new(Semaphore::new(policy.max_links));
        Self {
            introductions: Arc::new(Semaphore::new(policy.max_introductions)),
            calls: permits(),
            chunks: permits(),
            spread: permits(),
        }
    }

    /// Waits until fewer introductions are in progress than the limit, and takes a permit for one.
    pub(super) async fn acquire_introduction(&self) -> Option<LinkPermit> {
        self.introductions.clone().acquire_owned().await.ok()
    }

    /// Takes a permit for a link of `purpose`, without waiting.
    ///
    /// # Errors
    /// [`LinkError::TooMany`] if the limit is reached or the purpose is not specified.
    pub(super) fn admit(&self, purpose: LinkPurpose) -> Result<LinkPermit, LinkError> {
        let permits = match purpose {
            LinkPurpose::Calls => &self.calls,
            LinkPurpose::Chunks => &self.chunks,
            LinkPurpose::Spread => &self.spread,
            LinkPurpose::Unspecified => return Err(LinkError::TooMany(purpose)),
        };
        let permit = permits.clone().try_acquire_owned();
        permit.map_err(|_| LinkError::TooMany(purpose))
    }
}
