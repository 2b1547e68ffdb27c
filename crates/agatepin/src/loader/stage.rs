//! Writes to an engine's stage, the area that it loads weights from, such that pieces of two
//! versions are not mixed in one load.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::relay::load_order::StageCheck;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep_until;

use crate::loader::boot_clock::boot_time;
use crate::relay::ports::{EnginePort, StoreError};

/// Number of pieces of the stage that a check reads, or writes, at a time.
const PARALLEL_REQUESTS: usize = 4;
/// Time after its start in which a write that was not confirmed may still take effect.
const LATE_WRITE_WINDOW: Duration = Duration::from_secs(2);

/// Serializes writes to the stage of one engine. The stage has no versions: a piece replaces the
/// one of the same number.
#[derive(Clone)]
pub struct StageWriter<Engine> {
    engine: Engine,
    /// Held during each write ahead of a load, and by a [`StageGuard`] for a whole load.
    lock: Rc<Mutex<()>>,
    /// Time until which an unconfirmed write may still take effect; none if all were confirmed.
    write_pending_until: Rc<Cell<Option<Instant>>>,
    /// Number of writes that were not confirmed, with those in progress.
    unconfirmed_writes: Rc<Cell<usize>>,
    /// Whether pieces may be staged ahead of their load.
    prestaging: Rc<Cell<bool>>,
}

/// Exclusive access to the stage for one load, until it is dropped.
pub struct StageGuard<'writer> {
    _lock: MutexGuard<'writer, ()>,
}

impl<Engine> StageWriter<Engine>
where
    Engine: EnginePort,
{
    /// A writer to the stage of `engine`, which stages no pieces ahead of their load yet.
    pub fn new(engine: Engine) -> Self {
        Self {
            engine,
            lock: Rc::default(),
            write_pending_until: Rc::default(),
            unconfirmed_writes: Rc::default(),
            prestaging: Rc::default(),
        }
    }

    /// Permits to stage pieces ahead of their load: no order of an earlier process of this agent is
    /// outstanding.
    pub fn permit_prestaging(&self) {
        self.prestaging.set(true);
    }

    /// Stages a piece ahead of its load. Does nothing before that is permitted, and while the stage is
    /// locked, which includes any other write.
    ///
    /// # Errors
    /// The engine did not confirm the write.
    pub async fn prestage(&self, model: &str, piece: u32, data: Bytes) -> Result<(), StoreError> {
        if !self.prestaging.get() {
            return Ok(());
        }
        let Ok(_lock) = self.lock.try_lock() else {
            return Ok(());
        };
        self.write(model, piece, data).await
    }

    /// Locks the stage for a load; waits until no earlier write can take effect any more.
    pub async fn lock(&self) -> StageGuard<'_> {
        let lock = self.lock.lock().await;
        if let Some(until) = self.write_pending_until.take() {
            sleep_until(until.into()).await;
        }
        StageGuard { _lock: lock }
    }

    /// Checks that the stage has `pieces`, those of the load that `guard` is held for, and writes those
    /// that are missing or differ.
    ///
    /// # Errors
    /// The stage cannot be read, or the engine did not confirm a write.
    pub async fn check(
        &self,
        guard: &StageGuard<'_>,
        model: &str,
        pieces: &[Bytes],
    ) -> Result<StageCheck, StoreError> {
        let started = boot_time();
        let different = self.different(guard, model, pieces).await?;
        let mut writes = stream::iter(&different)
            .map(|(piece, data)| self.write(model, *piece, data.clone()))
            .buffer_unordered(PARALLEL_REQUESTS);
        while let Some(written) = writes.next().await {
            written?;
        }
        Ok(StageCheck {
            started,
            repaired: !different.is_empty(),
        })
    }

    /// Those of `pieces` that are missing in the stage or differ there, with their numbers.
    ///
    /// # Errors
    /// The stage cannot be read.
    pub async fn different(
        &self,
        _guard: &StageGuard<'_>,
        model: &str,
        pieces: &[Bytes],
    ) -> Result<Vec<(u32, Bytes)>, StoreError> {
        // One piece after the other takes too long at a slow engine: the first ones would have been read
        // long before the last.
        let mut reads = stream::iter((0..).zip(pieces))
            .map(|(piece, data)| async move {
                let staged = self.engine.staged(model, piece).await?;
                let is_same = staged.is_some_and(|staged| staged == *data);
                Ok((!is_same).then(|| (piece, data.clone())))
            })
            .buffer_unordered(PARALLEL_REQUESTS);
        let mut different = Vec::new();
        while let Some(read) = reads.next().await {
            different.extend(read?);
        }
        Ok(different)
    }

    /// Whether a write was not confirmed, so that it may still take effect.
    #[must_use]
    pub fn has_unconfirmed_writes(&self) -> bool {
        self.unconfirmed_writes.get() > 0
    }

    async fn write(&self, model: &str, piece: u32, data: Bytes) -> Result<(), StoreError> {
        // The write stays counted if it fails or this future is dropped: the request may still be on
        // its way to the engine, and take effect after a later write.
        self.unconfirmed_writes.update(|count| count + 1);
        self.write_pending_until
            .set(Some(Instant::now() + LATE_WRITE_WINDOW));
        let written = self.engine.stage(model, piece, data).await;
        if written.is_ok() {
            self.unconfirmed_writes.update(|count| count - 1);
            if self.unconfirmed_writes.get() == 0 {
                self.write_pending_until.set(None);
            }
        }
        written
    }
}
