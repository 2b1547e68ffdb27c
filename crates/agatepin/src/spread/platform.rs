//! Periodic reads of the configuration row and of the instance list. The larger the row or the
//! list, the longer the interval, so that the load on the platform stays bounded.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use super::runtime::SpreadEvent;
use crate::platform::instances::InstanceReader;
use crate::platform::table::TableStore;
use crate::store::{self, ConfigStore};

/// Maximum mean pause between two attempts to read the configuration row, until one succeeds.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// Maximum average rate, in bytes per second, at which one process reads the instance list, and
/// likewise the configuration row, while nothing changes.
const READ_BYTES_PER_SECOND: u32 = 512;

/// Reads the configuration row about every `interval` until `stopped` is cancelled. Until the
/// first read succeeds, the mean pause is at most [`FIRST_RETRY`].
pub(super) async fn read_table<Store>(
    store: ConfigStore<Store>,
    interval: Duration,
    events: mpsc::Sender<SpreadEvent>,
    stopped: CancellationToken,
) where
    Store: TableStore,
{
    let mut pause = interval.min(FIRST_RETRY);
    loop {
        if let Ok(config) = store.read().await {
            let blob = config.as_ref().map(store::encode);
            let bytes = blob.map_or(0, |blob| blob.body.len());
            pause = read_interval(interval, bytes);
            let event = SpreadEvent::TableRead(config.map(Box::new));
            if events.send(event).await.is_err() {
                return;
            }
        }
        if !sleep(jitter(pause), &stopped).await {
            return;
        }
    }
}

/// Reads the instance list about every `interval` until `stopped` is cancelled. After a
/// notification of `refresh` (the list has probably changed), the next read follows about
/// `interval` later, however large the list is.
pub(super) async fn read_instances(
    reader: InstanceReader,
    interval: Duration,
    refresh: Arc<Notify>,
    events: mpsc::Sender<SpreadEvent>,
    stopped: CancellationToken,
) {
    loop {
        let mut pause = interval;
        if let Ok(reading) = reader.read().await {
            pause = read_interval(interval, reading.bytes);
            if events.send(SpreadEvent::Listed(reading)).await.is_err() {
                return;
            }
        }
        let running = tokio::select! {
            running = sleep(jitter(pause), &stopped) => running,
            () = refresh.notified() => sleep(jitter(interval), &stopped).await,
        };
        if !running {
            return;
        }
    }
}

/// Returns `interval`, or the time that reads of `bytes` take at [`READ_BYTES_PER_SECOND`] if that
/// is longer.
fn read_interval(interval: Duration, bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    interval.max(Duration::from_secs(1) * bytes / READ_BYTES_PER_SECOND)
}

/// Waits for `pause`; returns `false` at once if `stopped` is cancelled.
pub(super) async fn sleep(pause: Duration, stopped: &CancellationToken) -> bool {
    tokio::select! {
        () = stopped.cancelled() => false,
        () = tokio::time::sleep(pause) => true,
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`, which spreads the actions of many
/// processes over time.
pub(super) fn jitter(mean: Duration) -> Duration {
    mean.mul_f64(0.5 + rand::random::<f64>())
}
