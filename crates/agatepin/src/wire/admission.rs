//! Limits on the links that other processes hold open, and on introductions (the `Hello`/`Welcome`
//! handshakes that begin a link) in progress.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::frames::LinkPurpose;
use super::link::{LinkError, LinkPolicy};

/// Permit for one open link or one introduction; dropping it frees it for another one.
pub type LinkPermit = OwnedSemaphorePermit;

/// Permits for accepted links, counted by purpose, and for introductions. Clones share the permits.
#[derive(Clone, Debug)]
pub struct LinkAdmission {
    /// Permits for `Hello`/`Welcome` handshakes in progress.
    introductions: Arc<Semaphore>,
    /// Permits for open links that carry calls.
    calls: Arc<Semaphore>,
    /// Permits for open links that carry chunks.
    chunks: Arc<Semaphore>,
    /// Permits for open links that spread configuration and membership.
    spread: Arc<Semaphore>,
}

impl LinkAdmission {
    /// Allows [`LinkPolicy::max_links`] links of each purpose, and
    /// [`LinkPolicy::max_introductions`] introductions at a time.
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
    /// Returns `None` only if the semaphore is closed, which does not happen.
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
