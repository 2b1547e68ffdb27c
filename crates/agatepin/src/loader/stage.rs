//! Keeps pieces of two versions from mixing in an engine's stage.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{Mutex, MutexGuard};
use tokio::time::sleep_until;

use crate::relay::ports::{EnginePort, StoreError};

/// Time for which a write that got no answer may still take effect.
const LATE_WRITE: Duration = Duration::from_secs(2);

/// The stage of one engine, which one version at a time is written to.
#[derive(Clone)]
pub struct StageDesk<Engine> {
    engine: Engine,
    lock: Rc<Mutex<()>>,
    /// A write may take effect until then.
    unsure_until: Rc<Cell<Option<Instant>>>,
}

/// Keeps the stage for one load until it is dropped.
pub struct StageClaim<'desk> {
    _lock: MutexGuard<'desk, ()>,
}

impl<Engine> StageDesk<Engine>
where
    Engine: EnginePort,
{
    /// A desk for the stage of `engine`.
    pub fn new(engine: Engine) -> Self {
        Self {
            engine,
            lock: Rc::default(),
            unsure_until: Rc::default(),
        }
    }

    /// Stages a piece ahead of a load, unless the stage is kept for a load.
    ///
    /// # Errors
    /// The engine did not take it.
    pub async fn stage_early(
        &self,
        model: &str,
        piece: u32,
        data: Bytes,
    ) -> Result<(), StoreError> {
        let Ok(_lock) = self.lock.try_lock() else {
            return Ok(());
        };
        self.put(model, piece, data).await
    }

    /// Keeps the stage for a load; waits until no earlier write can take effect.
    pub async fn claim(&self) -> StageClaim<'_> {
        let lock = self.lock.lock().await;
        if let Some(until) = self.unsure_until.take() {
            sleep_until(until.into()).await;
        }
        StageClaim { _lock: lock }
    }

    /// Stages a piece for the load that the stage is kept for, where it is not staged as it should
    /// be.
    ///
    /// # Errors
    /// The engine did not answer.
    pub async fn restage(
        &self,
        _claim: &StageClaim<'_>,
        model: &str,
        piece: u32,
        wanted: Bytes,
    ) -> Result<(), StoreError> {
        let staged = self.engine.staged(model, piece).await?;
        if staged.is_some_and(|staged| staged == wanted) {
            return Ok(());
        }
        self.put(model, piece, wanted).await
    }

    async fn put(&self, model: &str, piece: u32, data: Bytes) -> Result<(), StoreError> {
        // Until the answer is here, the write may take effect late; also where this is dropped.
        let before = self.unsure_until.replace(Some(Instant::now() + LATE_WRITE));
        let done = self.engine.stage(model, piece, data).await;
        if done.is_ok() {
            self.unsure_until.set(before);
        }
        done
    }
}
