//! Uploads of chunks to peers, within the bandwidth budgets of the agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatepin_core::budget::LinkBudget;
use agatepin_core::ids::{ContentDigest, DataCentreId};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::store::ChunkStore;
use crate::settings::WeightSettings;
use crate::wire::frames::{ChunkData, ChunkMissing, ChunkRequest, frame::Body};
use crate::wire::link::LinkSender;

/// Maximum number of uploads in one queue. Beyond it the least urgent upload is refused, so that
/// its peer requests the chunk from another holder, which can serve it better.
const MAX_QUEUED: usize = 8;
/// Maximum number of pairs of chunk and data centre whose uploads are counted; beyond it all counts
/// are reset.
const MAX_SEND_COUNTS: usize = 65_536;
/// Minimum burst of a bandwidth budget: the number of bytes that may be sent at once after a pause.
const MIN_BURST_BYTES: u64 = 64 * 1024;
/// The burst of a bandwidth budget, in bytes, is its bytes per second divided by this.
const BURST_DIVISOR: u64 = 10;

/// Bandwidth budget that several tasks share.
#[derive(Clone, Debug)]
pub(super) struct SharedBudget {
    budget: Arc<Mutex<LinkBudget>>,
}

impl SharedBudget {
    /// Creates a budget of `bytes_per_second`; 0 means no limit.
    pub(super) fn new(bytes_per_second: u64) -> Self {
        let burst = (bytes_per_second / BURST_DIVISOR).max(MIN_BURST_BYTES);
        let budget = LinkBudget::new(bytes_per_second, burst, Instant::now());
        Self {
            budget: Arc::new(Mutex::new(budget)),
        }
    }

    /// Waits until `bytes` may be sent, and takes them from the budget.
    pub(super) async fn take(&self, bytes: u64) {
        while let Err(wait) = self.try_take(bytes) {
            tokio::time::sleep(wait).await;
        }
    }

    fn try_take(&self, bytes: u64) -> Result<(), Duration> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_take(bytes, Instant::now())
    }
}

/// A chunk that a peer requested and that has not been sent yet.
#[derive(Debug)]
pub(super) struct QueuedUpload {
    /// The peer's request.
    pub(super) request: ChunkRequest,
    /// Link to the peer.
    pub(super) sender: LinkSender,
    /// Data centre of the peer.
    pub(super) data_centre: DataCentreId,
}

/// Uploads of one queue. The chunk that this agent has sent to the peer's data centre least often
/// goes first, so that an agent that is the only holder of many chunks sends each of them once
/// before it sends one again.
#[derive(Debug, Default)]
struct QueuedUploads {
    uploads: Vec<QueuedUpload>,
    /// Number of uploads by digest of the chunk and data centre of the peer.
    send_counts: HashMap<(Bytes, DataCentreId), u32>,
}

impl QueuedUploads {
    fn times_sent(&self, upload: &QueuedUpload) -> u32 {
        let key = (upload.request.digest.clone(), upload.data_centre.clone());
        self.send_counts.get(&key).copied().unwrap_or(0)
    }

    /// Adds an upload. If the queue was full, removes and returns the least urgent upload: the one
    /// whose chunk was sent most often to the peer's data centre, the newest among equals.
    fn push(&mut self, upload: QueuedUpload) -> Option<QueuedUpload> {
        self.uploads.push(upload);
        if self.uploads.len() <= MAX_QUEUED {
            return None;
        }
        let queued = self.uploads.iter().enumerate();
        let last = queued.max_by_key(|(index, upload)| (self.times_sent(upload), *index));
        let index = last.map(|(index, _)| index)?;
        Some(self.uploads.remove(index))
    }

    /// Removes and returns the most urgent upload, and counts it as sent: the one whose chunk was
    /// sent least often to the peer's data centre, the oldest among equals.
    fn pop(&mut self) -> Option<QueuedUpload> {
        let queued = self.uploads.iter().enumerate();
        let first = queued.min_by_key(|(index, upload)| (self.times_sent(upload), *index));
        let index = first.map(|(index, _)| index)?;
        let upload = self.uploads.remove(index);
        if self.send_counts.len() >= MAX_SEND_COUNTS {
            self.send_counts.clear();
        }
        let key = (upload.request.digest.clone(), upload.data_centre.clone());
        *self.send_counts.entry(key).or_default() += 1;
        Some(upload)
    }
}

/// Queue from which one task sends.
#[derive(Clone, Debug, Default)]
struct UploadQueue {
    queued: Arc<Mutex<QueuedUploads>>,
    /// Notified when an upload is added.
    added: Arc<Notify>,
}

impl UploadQueue {
    fn push(&self, upload: QueuedUpload) {
        let dropped = self.lock().push(upload);
        if let Some(upload) = dropped {
            send_missing(&upload);
        }
        self.added.notify_one();
    }

    async fn pop(&self) -> QueuedUpload {
        loop {
            let upload = self.lock().pop();
            if let Some(upload) = upload {
                return upload;
            }
            self.added.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueuedUploads> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The queues of an agent: one for peers in its region, one for peers in other regions.
#[derive(Debug)]
pub(super) struct UploadQueues {
    same_region: UploadQueue,
    other_regions: UploadQueue,
}

impl UploadQueues {
    /// Creates the queues and starts the tasks that send from them. All uploads count against the
    /// budget `uplink_bytes`; those to other regions also count against `region_bytes`. Both are
    /// settings in bytes per second.
    pub(super) fn start(
        settings: &WeightSettings,
        store: &ChunkStore,
        stopped: &CancellationToken,
    ) -> Self {
        let uplink = SharedBudget::new(settings.uplink_bytes);
        let region = SharedBudget::new(settings.region_bytes);
        let queues = Self {
            same_region: UploadQueue::default(),
            other_regions: UploadQueue::default(),
        };
        let tasks = [
            (queues.same_region.clone(), vec![uplink.clone()]),
            (queues.other_regions.clone(), vec![region, uplink]),
        ];
        for (queue, budgets) in tasks {
            tokio::spawn(send_queued(queue, budgets, store.clone(), stopped.clone()));
        }
        queues
    }

    /// Queues an upload; if the queue is full, the least urgent upload is refused.
    pub(super) fn push(&self, upload: QueuedUpload, to_other_region: bool) {
        let queue = if to_other_region {
            &self.other_regions
        } else {
            &self.same_region
        };
        queue.push(upload);
    }
}

async fn send_queued(
    queue: UploadQueue,
    budgets: Vec<SharedBudget>,
    store: ChunkStore,
    stopped: CancellationToken,
) {
    loop {
        let upload = tokio::select! {
            () = stopped.cancelled() => return,
            upload = queue.pop() => upload,
        };
        if upload.sender.is_closed() {
            continue;
        }
        let digest = ContentDigest::from_slice(&upload.request.digest);
        let Some(data) = digest.and_then(|digest| store.get(&digest)) else {
            send_missing(&upload);
            continue;
        };
        send(&upload, data, &budgets).await;
    }
}

async fn send(upload: &QueuedUpload, data: Bytes, budgets: &[SharedBudget]) {
    for budget in budgets {
        budget.take(data.len() as u64).await;
    }
    let body = Body::ChunkData(ChunkData {
        number: upload.request.number,
        digest: upload.request.digest.clone(),
        data,
    });
    // A failed send is ignored: if the link has closed or its send queue is full, the peer requests
    // the chunk from another holder.
    let _ = upload.sender.try_send(body);
}

/// Tells the peer that this agent will not send the requested chunk.
fn send_missing(upload: &QueuedUpload) {
    let body = Body::ChunkMissing(ChunkMissing {
        number: upload.request.number,
        digest: upload.request.digest.clone(),
    });
    let _ = upload.sender.try_send(body);
}
