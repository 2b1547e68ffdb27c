//! Admission control of the upstream, shared between tasks, with guards that release slots and
//! reservations.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::gate::{CallEnd, GateRefusal, UpstreamGate};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// How long the slot of a cancelled call stays occupied, since the upstream may still be executing
/// the call.
const CANCELLED_SLOT_HOLD: Duration = Duration::from_millis(500);
/// How long a suspect waits for the calls in flight to end before it is refused.
const SUSPECT_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Shared handle to the upstream's gate; clones refer to the same gate.
#[derive(Clone, Debug)]
pub struct SharedGate {
    gate: Arc<Mutex<UpstreamGate>>,
    /// Number of changes of the gate so far; tasks subscribe to it to wait for a change.
    changes: watch::Sender<u64>,
}

impl SharedGate {
    /// Creates a handle to `gate`.
    #[must_use]
    pub fn new(gate: UpstreamGate) -> Self {
        Self {
            gate: Arc::new(Mutex::new(gate)),
            changes: watch::Sender::new(0),
        }
    }

    /// Changes the gate, wakes all tasks that wait for a change, and returns what `change` returns.
    pub fn update<Output, Change>(&self, change: Change) -> Output
    where
        Change: FnOnce(&mut UpstreamGate) -> Output,
    {
        let output = change(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        output
    }

    /// Reads the gate and returns what `read` returns.
    pub fn read<Output, Read>(&self, read: Read) -> Output
    where
        Read: FnOnce(&UpstreamGate) -> Output,
    {
        read(&self.lock())
    }

    /// Admits a call; see [`UpstreamGate::try_admit`]. The call's slot is released when the guard
    /// is dropped.
    ///
    /// # Errors
    /// The reason why the call is refused.
    pub fn try_admit(&self, model: Option<&str>, alone: bool) -> Result<AdmitGuard, GateRefusal> {
        self.update(|gate| gate.try_admit(model, alone))?;
        Ok(AdmitGuard {
            gate: self.clone(),
            end: CallEnd::Cancelled,
            first_byte: None,
        })
    }

    /// Waits until no other call is in flight and admits a suspect. No other call is admitted
    /// while the suspect waits or runs.
    ///
    /// # Errors
    /// The reason why the call is refused; [`GateRefusal::Suspect`] if calls are still in flight
    /// after 5 seconds.
    pub async fn admit_alone(&self, model: Option<&str>) -> Result<AdmitGuard, GateRefusal> {
        let _reservation = self.reserve().await;
        let drained = tokio::time::timeout(SUSPECT_DRAIN_TIMEOUT, self.drained()).await;
        drained.map_err(|_| GateRefusal::Suspect)?;
        self.try_admit(model, true)
    }

    /// Waits until the gate is reserved for no other suspect, and reserves it.
    async fn reserve(&self) -> GateReservation {
        let mut changes = self.subscribe();
        loop {
            changes.mark_unchanged();
            // `update` is called only if the reservation can succeed: each call of it wakes all
            // tasks that wait here, even if nothing changed.
            if self.read(UpstreamGate::is_shared) && self.update(UpstreamGate::reserve) {
                return GateReservation(self.clone());
            }
            // The wait cannot fail, since `self` holds the sender of the channel.
            let _ = changes.changed().await;
        }
    }

    /// Starts to measure the time until the first byte of an answer. If the byte takes longer than
    /// [`GatePolicy::slow_after`], the gate records it as overdue.
    ///
    /// [`GatePolicy::slow_after`]: agatepin_core::gate::GatePolicy::slow_after
    #[must_use]
    pub fn watch_first_byte(&self) -> FirstByteWatch {
        let slow_after = self.read(UpstreamGate::policy).slow_after;
        let gate = self.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep(slow_after).await;
            gate.update(UpstreamGate::record_overdue);
        });
        FirstByteWatch {
            started_at: Instant::now(),
            latency: None,
            timer,
        }
    }

    /// Returns a receiver that is notified of each change of the gate.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until no call is in flight.
    pub async fn drained(&self) {
        let mut changes = self.subscribe();
        while self.read(UpstreamGate::in_flight) > 0 {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reservation of the gate for a suspect; dropping it cancels the reservation if no suspect was
/// admitted.
#[derive(Debug)]
struct GateReservation(SharedGate);

impl Drop for GateReservation {
    fn drop(&mut self) {
        self.0.update(UpstreamGate::unreserve);
    }
}

/// Measures the time until the first byte of an answer, and reports it to the gate once if the byte
/// is overdue. Dropping it ends the measurement.
#[derive(Debug)]
pub struct FirstByteWatch {
    started_at: Instant,
    /// Time until the first byte; `None` before it, or if it was overdue.
    latency: Option<Duration>,
    /// Reports the first byte as overdue when it expires.
    timer: JoinHandle<()>,
}

impl FirstByteWatch {
    /// Records that data of the answer has arrived. Only the first call has an effect.
    pub fn record_data(&mut self) {
        if self.latency.is_some() || self.timer.is_finished() {
            return;
        }
        self.timer.abort();
        self.latency = Some(self.started_at.elapsed());
    }

    /// Returns the time until the first byte; `None` if none has arrived, or if it was overdue,
    /// which the gate has counted already.
    #[must_use]
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }
}

impl Drop for FirstByteWatch {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

/// Slot of an admitted call. Dropping it releases the slot: after 500 ms if the call was cancelled,
/// else immediately.
#[derive(Debug)]
pub struct AdmitGuard {
    gate: SharedGate,
    /// How the call ended; [`Self::finish`] sets it, and it is `Cancelled` before.
    end: CallEnd,
    /// Time until the first byte of the answer; `None` if the gate is not to count it.
    first_byte: Option<Duration>,
}

impl AdmitGuard {
    /// Releases the slot of a call that ended with `end`. `first_byte` is the time until the first
    /// byte of its answer, if the gate is to count it. A guard that is dropped without this counts
    /// as cancelled.
    pub fn finish(mut self, end: CallEnd, first_byte: Option<Duration>) {
        self.end = end;
        self.first_byte = first_byte;
    }
}

impl Drop for AdmitGuard {
    fn drop(&mut self) {
        let (end, first_byte) = (self.end, self.first_byte);
        let gate = self.gate.clone();
        let release = move || gate.update(|gate| gate.release(end, first_byte));
        match Handle::try_current() {
            Ok(handle) if end == CallEnd::Cancelled => {
                handle.spawn(async move {
                    tokio::time::sleep(CANCELLED_SLOT_HOLD).await;
                    release();
                });
            }
            _ => release(),
        }
    }
}
