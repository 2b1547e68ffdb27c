//! Order numbers from the platform, and permission for each order.

use std::fmt;
use std::time::{Duration, Instant};

use agatepin_core::fence::{FenceLease, FenceRaise, FenceRefusal, LeasePolicy, OrderPermit};
use agatepin_core::ids::FenceNumber;

const LEASE: Duration = Duration::from_secs(5);
const ORDER_BOUND: Duration = Duration::from_secs(30);

/// The fence row could not be read or raised.
#[derive(Debug)]
pub struct FenceError(pub String);

impl fmt::Display for FenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "fence row: {}", self.0)
    }
}

impl std::error::Error for FenceError {}

/// Row that holds the order number of one upstream.
pub trait FenceStore {
    /// Raises the row by compare-and-set.
    fn raise(&self, upstream: &str) -> impl Future<Output = Result<FenceRaise, FenceError>>;

    /// Number that the row holds.
    fn read(&self, upstream: &str) -> impl Future<Output = Result<FenceNumber, FenceError>>;
}

/// Why no order may be given now.
#[derive(Debug)]
pub(super) enum PermitError {
    /// The row could not be raised or read.
    Source(FenceError),
    /// The lease refuses.
    Refused(FenceRefusal),
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Source(err) => write!(f, "{err}"),
            Self::Refused(FenceRefusal::Waiting(wait)) => {
                write!(f, "a predecessor's lease may run for {wait:?}")
            }
            Self::Refused(FenceRefusal::Lapsed) => f.write_str("the lease has lapsed"),
            Self::Refused(FenceRefusal::Lost(number)) => {
                write!(f, "another agent holds order number {number}")
            }
        }
    }
}

/// Holds the order number of the upstream beside the agent.
#[derive(Debug)]
pub(super) struct FenceHolder<Source> {
    source: Source,
    upstream: String,
    lease: Option<FenceLease>,
}

impl<Source> FenceHolder<Source>
where
    Source: FenceStore,
{
    pub(super) fn new(source: Source, upstream: String) -> Self {
        Self {
            source,
            upstream,
            lease: None,
        }
    }

    /// Longest time for one order.
    pub(super) fn order_bound() -> Duration {
        ORDER_BOUND
    }

    /// Permits one order; raises the row first where this has not been done, and reads it again
    /// where the lease has lapsed.
    pub(super) async fn permit(&mut self, engine_checks: bool) -> Result<OrderPermit, PermitError> {
        if self.lease.is_none() {
            let asked = Instant::now();
            let raise = self.source.raise(&self.upstream).await;
            let raise = raise.map_err(PermitError::Source)?;
            let policy = LeasePolicy {
                lease: LEASE,
                bound: ORDER_BOUND,
            };
            let now = Instant::now();
            self.lease = Some(FenceLease::new(policy, engine_checks, raise, asked, now));
        }
        if self
            .try_permit()
            .is_err_and(|err| err == FenceRefusal::Lapsed)
        {
            let asked = Instant::now();
            let row = self.source.read(&self.upstream).await;
            let row = row.map_err(PermitError::Source)?;
            if let Some(lease) = &mut self.lease {
                lease.observe(row, asked);
            }
        }
        self.try_permit().map_err(PermitError::Refused)
    }

    fn try_permit(&self) -> Result<OrderPermit, FenceRefusal> {
        let lease = self.lease.as_ref().ok_or(FenceRefusal::Lapsed)?;
        lease.permit(Instant::now())
    }
}
