//! Writes to an engine's stage, the area that it loads weights from, such that pieces of two
//! versions are not mixed in one load.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep_until;

use crate::relay::ports::{EnginePort, StoreError};

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

    /// Stages a piece of the load that `_guard` is held for, unless the stage has the same bytes.
    ///
    /// # Errors
    /// The stage cannot be read, or the engine did not confirm the write.
    pub async fn stage_if_different(
        &self,
        _guard: &StageGuard<'_>,
        model: &str,
        piece: u32,
        data: Bytes,
    ) -> Result<(), StoreError> {
        let staged = self.engine.staged(model, piece).await?;
        if staged.is_some_and(|staged| staged == data) {
            return Ok(());
        }
        self.write(model, piece, data).await
    }

    async fn write(&self, model: &str, piece: u32, data: Bytes) -> Result<(), StoreError> {
        // The time stays set if the write fails or this future is dropped: the request may still be
        // on its way to the engine, and take effect after a later write.
        let earlier_pending_until = self
            .write_pending_until
            .replace(Some(Instant::now() + LATE_WRITE_WINDOW));
        let written = self.engine.stage(model, piece, data).await;
        if written.is_ok() {
            self.write_pending_until.set(earlier_pending_until);
        }
        written
    }
}
