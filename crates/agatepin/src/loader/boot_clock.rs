//! The clock that also counts the time in which the machine was suspended, unlike that of `Instant`.

use std::time::Duration;

use agatepin_core::relay::load_order::BootTime;
use rustix::time::{ClockId, clock_gettime};

/// Reading of the clock.
#[must_use]
pub fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    Duration::try_from(now).unwrap_or_default()
}
