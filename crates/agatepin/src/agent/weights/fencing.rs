//! Permits or refuses each order (to load weights) to the engine, based on the upstream's fence
//! number: a fencing token in a table row, whose number each new agent of the upstream
//! increments.

use std::fmt;
use std::time::{Duration, Instant};

use agatepin_core::fence::{FenceLease, FenceRaise, FenceRefusal, LeasePolicy, OrderPermit};
use agatepin_core::ids::FenceNumber;

/// Duration of the lease: how long orders are permitted after a read that found this agent's fence
/// number in the row.
const LEASE_DURATION: Duration = Duration::from_secs(5);
/// Time limit of an order, from its permission until the engine's answer; pauses of the process
/// count towards the limit. If the engine does not check fence numbers, a successor (the next agent
/// of the upstream) waits for this time after the lease, as an order may still be running.
const MAX_ORDER_DURATION: Duration = Duration::from_secs(30);

/// The row with the fence number could not be read, or the number could not be incremented;
/// contains the cause.
#[derive(Debug)]
pub struct FenceError(pub String);

impl fmt::Display for FenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot read or raise the fence row: {}", self.0)
    }
}

impl std::error::Error for FenceError {}

/// Store of the rows that hold the upstreams' fence numbers.
pub trait FenceStore {
    /// Increments the fence number in the row of `upstream` by compare-and-set.
    ///
    /// # Errors
    /// The row could not be read, or its number was not incremented.
    fn raise(&self, upstream: &str) -> impl Future<Output = Result<FenceRaise, FenceError>>;

    /// Returns the fence number of `upstream`, 0 if it has no row yet.
    ///
    /// # Errors
    /// The row could not be read.
    fn read(&self, upstream: &str) -> impl Future<Output = Result<FenceNumber, FenceError>>;
}

/// Why no order may be given now.
#[derive(Debug)]
pub(super) enum PermitError {
    /// The number in the row could not be incremented or read.
    Store(FenceError),
    /// The lease does not permit orders.
    Refused(FenceRefusal),
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(err) => write!(f, "{err}"),
            Self::Refused(FenceRefusal::Waiting(wait)) => {
                write!(f, "a predecessor's lease may run for another {wait:?}")
            }
            Self::Refused(FenceRefusal::Lapsed) => f.write_str("the lease has lapsed"),
            Self::Refused(FenceRefusal::Lost(number)) => {
                write!(f, "another agent holds fence number {number}")
            }
        }
    }
}

/// Holds the fence number and lease of one agent for its upstream.
#[derive(Debug)]
pub(super) struct FenceHolder<Store> {
    store: Store,
    upstream: String,
    /// Lease, which permits orders for a limited time without another read of the row; `None` until
    /// this process has incremented the number in the row.
    lease: Option<FenceLease>,
}

impl<Store> FenceHolder<Store>
where
    Store: FenceStore,
{
    pub(super) fn new(store: Store, upstream: String) -> Self {
        Self {
            store,
            upstream,
            lease: None,
        }
    }

    /// Returns the longest time that one order may take.
    pub(super) fn max_order_duration() -> Duration {
        MAX_ORDER_DURATION
    }

    /// Permits one order. First increments the number in the row if this process has not done so
    /// yet, and reads the row again if the lease has lapsed. `engine_checks` says whether the
    /// engine checks fence numbers.
    pub(super) async fn permit(&mut self, engine_checks: bool) -> Result<OrderPermit, PermitError> {
        if self.lease.is_none() {
            let requested_at = Instant::now();
            let raise = self.store.raise(&self.upstream).await;
            let raise = raise.map_err(PermitError::Store)?;
            let policy = LeasePolicy {
                lease: LEASE_DURATION,
                // Time limit of one order, from its permission until the engine's answer.
                max_order_duration: MAX_ORDER_DURATION,
            };
            let now = Instant::now();
            self.lease = Some(FenceLease::new(
                policy,
                engine_checks,
                raise,
                requested_at,
                now,
            ));
        }
        if self
            .try_permit()
            .is_err_and(|err| err == FenceRefusal::Lapsed)
        {
            let requested_at = Instant::now();
            let row = self.store.read(&self.upstream).await;
            let row = row.map_err(PermitError::Store)?;
            if let Some(lease) = &mut self.lease {
                lease.observe(row, requested_at);
            }
        }
        self.try_permit().map_err(PermitError::Refused)
    }

    fn try_permit(&self) -> Result<OrderPermit, FenceRefusal> {
        let lease = self.lease.as_ref().ok_or(FenceRefusal::Lapsed)?;
        lease.permit(Instant::now())
    }
}
