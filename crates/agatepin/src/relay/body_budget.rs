//! Memory for what an entry holds for its callers: bodies that come in, whole bodies until their request
//! has ended, and answers until they are sent. Bytes are counted until the last copy of them is dropped.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::relay::byte_budget::{ByteBudget, HolderId, PROGRESS_BYTES, Reservation};
use bytes::Bytes;
use prometheus::IntCounterVec;
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Longest wait for memory for a part of a stream whose caller is behind: it slows the stream down
/// without ending it.
const PART_WAIT: Duration = Duration::from_millis(500);

/// The holder was refused, as the memory is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

/// Budget that all requests of an entry share; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct BodyBudget(Arc<SharedBudget>);

#[derive(Debug)]
struct SharedBudget {
    state: Mutex<BudgetState>,
    /// Wakes holders that wait for memory.
    released: Notify,
    /// Counts refusals.
    limited: IntCounterVec,
}

#[derive(Debug)]
struct BudgetState {
    budget: ByteBudget,
    /// Cancelled when the holder is refused.
    tokens: HashMap<HolderId, CancellationToken>,
    /// Whether a reservation did not fit since at most `calm_bytes` were held.
    is_exhausted: bool,
    /// Bytes below which the memory is no longer used up.
    calm_bytes: usize,
    /// Refusals since the memory was used up.
    refused: u64,
}

/// Bytes of one holder; dropping the permit returns them.
#[derive(Debug)]
pub struct BytePermit {
    shared: Arc<SharedBudget>,
    id: HolderId,
    token: CancellationToken,
    /// Bytes that arrived and are not counted as progress yet.
    arrived: AtomicUsize,
}

/// Bytes with the permit for them.
struct HeldBytes {
    bytes: Vec<u8>,
    _permit: BytePermit,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl SharedBudget {
    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    fn refuse(&mut self, holders: &[HolderId]) {
        for holder in holders {
            if let Some(token) = self.tokens.get(holder) {
                token.cancel();
            }
        }
    }

    /// Logs the first refusal after the memory was sufficient.
    fn record_exhausted(&mut self, refused: usize) {
        self.refused += refused as u64;
        if !std::mem::replace(&mut self.is_exhausted, true) {
            let held = self.budget.held();
            log::warn!(held; "memory for bodies and answers is used up");
        }
    }

    fn record_release(&mut self) {
        let held = self.budget.held();
        if self.is_exhausted && held <= self.calm_bytes {
            self.is_exhausted = false;
            let refused = std::mem::take(&mut self.refused);
            log::info!(held, refused; "memory for bodies and answers is sufficient again");
        }
    }
}

impl BodyBudget {
    /// A budget of `capacity` bytes, which counts refusals in `limited`, by limit.
    #[must_use]
    pub fn new(capacity: usize, limited: IntCounterVec) -> Self {
        Self(Arc::new(SharedBudget {
            state: Mutex::new(BudgetState {
                budget: ByteBudget::new(capacity),
                tokens: HashMap::new(),
                is_exhausted: false,
                calm_bytes: capacity / 2,
                refused: 0,
            }),
            released: Notify::new(),
            limited,
        }))
    }

    /// Opens a permit without bytes for a body that comes in. Its holder may be refused until
    /// [`BytePermit::keep`] is called.
    #[must_use]
    pub fn open(&self) -> BytePermit {
        let token = CancellationToken::new();
        let mut state = self.0.state();
        let id = state.budget.open(Instant::now());
        state.tokens.insert(id, token.clone());
        drop(state);
        BytePermit {
            shared: self.0.clone(),
            id,
            token,
            arrived: AtomicUsize::new(0),
        }
    }

    /// Opens a permit without bytes for an answer: its holder is not refused.
    #[must_use]
    pub fn open_answer(&self) -> BytePermit {
        let permit = self.open();
        permit.keep();
        permit
    }

    /// Counts `bytes`, a part of an answer, until its last copy is dropped. If the caller is behind
    /// (`can_wait`), waits a while for memory.
    pub async fn hold(&self, bytes: &Bytes, can_wait: bool) -> Bytes {
        let permit = self.open_answer();
        if can_wait {
            let _ = timeout(PART_WAIT, permit.reserve(bytes.len())).await;
        }
        permit.take(bytes.len());
        permit.attach(bytes.to_vec())
    }
}

impl BytePermit {
    /// Waits until the holder is refused.
    pub async fn refused(&self) {
        self.token.cancelled().await;
    }

    /// Protects the holder from being refused: its body is complete.
    pub fn keep(&self) {
        self.shared.state().budget.keep(self.id);
    }

    /// Counts `bytes` of the body that arrived.
    pub fn record_arrival(&self, bytes: usize) {
        // One body may have thousands of tiny parts.
        let arrived = self.arrived.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if arrived < PROGRESS_BYTES {
            return;
        }
        self.arrived.store(0, Ordering::Relaxed);
        let now = Instant::now();
        self.shared
            .state()
            .budget
            .record_arrival(self.id, arrived, now);
    }

    /// Counts a body that makes too little progress.
    pub fn count_slow(&self) {
        self.shared.limited.with_label_values(&["progress"]).inc();
    }

    /// Raises the bytes of the holder to `bytes`, for which it may wait.
    ///
    /// # Errors
    /// The holder is refused.
    pub async fn reserve(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        loop {
            let released = self.shared.released.notified();
            let reservation = {
                let mut state = self.shared.state();
                let reservation = state.budget.reserve(self.id, bytes, Instant::now());
                match &reservation {
                    Reservation::Granted => {}
                    Reservation::Wait(victims) => {
                        state.refuse(victims);
                        state.record_exhausted(victims.len());
                        let count = victims.len() as u64;
                        self.shared
                            .limited
                            .with_label_values(&["memory"])
                            .inc_by(count);
                    }
                    Reservation::Refused => {
                        state.record_exhausted(1);
                        self.shared.limited.with_label_values(&["memory"]).inc();
                    }
                }
                reservation
            };
            match reservation {
                Reservation::Granted => return Ok(()),
                Reservation::Wait(_) => released.await,
                Reservation::Refused => return Err(MemoryExhausted),
            }
        }
    }

    /// Raises the bytes of the holder of an answer to `bytes`, if need be at the expense of open bodies. It
    /// does not wait: what it would wait for may be the body of its own request.
    pub fn take(&self, bytes: usize) {
        let mut state = self.shared.state();
        let reservation = state.budget.reserve(self.id, bytes, Instant::now());
        state.budget.force(self.id, bytes);
        if let Reservation::Wait(victims) = reservation {
            state.refuse(&victims);
            state.record_exhausted(victims.len());
            let count = victims.len() as u64;
            let limited = self.shared.limited.with_label_values(&["memory"]);
            limited.inc_by(count);
        }
    }

    /// Bytes that hold the permit until their last copy is dropped.
    #[must_use]
    pub fn attach(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _permit: self,
        })
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.budget.close(self.id);
        state.tokens.remove(&self.id);
        state.record_release();
        drop(state);
        self.shared.released.notify_waiters();
    }
}
