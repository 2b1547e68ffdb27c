//! Budget of the bytes that an entry holds for its callers: which request may hold more, and which one
//! is refused when the budget is used up.
//!
//! A request whose body is still coming in can be refused, as it has not run anywhere. One that was
//! received completely keeps its bytes until it ends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bytes up to which a holder counts as small.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Part of the budget that only small holders use, so that they never wait for large ones.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Smallest capacity of a body that is not empty: most bodies are a few kilobytes long.
const MIN_CAPACITY: usize = 4 * 1024;
/// Bytes that must arrive for a body to count as moving. A body of which single bytes trickle in ranks
/// as one that stands still.
pub const PROGRESS_BYTES: usize = 4 * 1024;
/// Bytes that must arrive of an open body within the idle limit of connections. Clients within the
/// limits send a whole request in less time.
const MIN_WINDOW_BYTES: usize = 256;

/// Number of a holder of bytes.
pub type HolderId = u64;

/// Answer to a holder that needs more bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are counted.
    Granted,
    /// The bytes are not counted. They may be after another holder has ended; these ones have just been
    /// refused to make room.
    Wait(Vec<HolderId>),
    /// The holder itself is refused.
    Refused,
}

#[derive(Debug)]
struct ByteHolder {
    bytes: usize,
    /// When the body last moved; none if the holder can no longer be refused.
    moved: Option<Instant>,
    /// Bytes that arrived since then.
    arrived: usize,
    is_refused: bool,
}

impl ByteHolder {
    /// Rank of a holder that can be refused; the highest is refused first.
    fn rank(&self, now: Instant) -> Option<u128> {
        let moved = self.moved.filter(|_| !self.is_refused)?;
        let still = now.saturating_duration_since(moved).as_millis() + 1;
        Some(self.bytes as u128 * still)
    }
}

/// Bytes that all holders have, and the limit of their sum.
#[derive(Debug)]
pub struct ByteBudget {
    capacity: usize,
    holders: BTreeMap<HolderId, ByteHolder>,
    /// Number of holders that there have been.
    opened: HolderId,
    /// Bytes of all holders.
    held: usize,
}

impl ByteBudget {
    /// A budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holders: BTreeMap::new(),
            opened: 0,
            held: 0,
        }
    }

    /// Adds a holder without bytes. It can be refused until [`Self::keep`] is called.
    pub fn open(&mut self, now: Instant) -> HolderId {
        self.opened += 1;
        let holder = ByteHolder {
            bytes: 0,
            moved: Some(now),
            arrived: 0,
            is_refused: false,
        };
        self.holders.insert(self.opened, holder);
        self.opened
    }

    /// Protects a holder from being refused.
    pub fn keep(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.moved = None;
        }
    }

    /// Removes a holder and its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes;
        }
    }

    /// Counts `bytes` more of an open body that arrived.
    pub fn record_arrival(&mut self, id: HolderId, bytes: usize, now: Instant) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.arrived += bytes;
        if holder.arrived >= PROGRESS_BYTES && holder.moved.is_some() {
            holder.arrived = 0;
            holder.moved = Some(now);
        }
    }

    /// Whether the holder was refused.
    #[must_use]
    pub fn is_refused(&self, id: HolderId) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.is_refused)
    }

    /// Bytes of all holders.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Raises the bytes of a holder to `bytes`, regardless of the limit.
    pub fn force(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.held += bytes.saturating_sub(holder.bytes);
            holder.bytes = holder.bytes.max(bytes);
        }
    }

    /// Raises the bytes of a holder to `bytes` if they fit; else refuses the holders that have most and
    /// move least, which may be the holder itself. A large holder always fits if there is no other.
    pub fn reserve(&mut self, id: HolderId, bytes: usize, now: Instant) -> Reservation {
        let Some(holder) = self.holders.get_mut(&id) else {
            return Reservation::Refused;
        };
        if holder.is_refused {
            return Reservation::Refused;
        }
        let before = holder.bytes;
        if bytes <= before {
            return Reservation::Granted;
        }
        let can_wait = holder.moved.is_none();
        let most = self.capacity - self.capacity / SMALL_SHARE_DIVISOR;
        if self.held - before + bytes <= most || self.fits(id, bytes, false) {
            self.force(id, bytes);
            return Reservation::Granted;
        }
        let mut victims = Vec::new();
        // The holder competes with the bytes that it would have.
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = bytes;
        }
        let mut is_refused = false;
        while !self.fits(id, bytes, true) {
            let ranked = self.holders.iter();
            let ranked = ranked.filter_map(|(id, holder)| Some((holder.rank(now)?, *id)));
            let Some((_, victim)) = ranked.max() else {
                is_refused = !can_wait;
                break;
            };
            if let Some(holder) = self.holders.get_mut(&victim) {
                holder.is_refused = true;
            }
            if victim == id {
                is_refused = true;
                break;
            }
            victims.push(victim);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = before;
            holder.is_refused |= is_refused;
        }
        if is_refused && victims.is_empty() {
            return Reservation::Refused;
        }
        Reservation::Wait(victims)
    }

    /// Whether the holder `id` may have `bytes`, or will once the refused ones have ended
    /// (`without_refused`).
    fn fits(&self, id: HolderId, bytes: usize, without_refused: bool) -> bool {
        let others = || {
            let others = self.holders.iter();
            others.filter(move |(other, holder)| {
                **other != id && !(without_refused && holder.is_refused)
            })
        };
        let small_share = self.capacity / SMALL_SHARE_DIVISOR;
        let most_large = self.capacity - small_share;
        let others = others().map(|(_, holder)| holder.bytes);
        let (large, small): (Vec<usize>, Vec<usize>) =
            others.partition(|bytes| *bytes > SMALL_BYTES);
        let large: usize = large.iter().sum();
        if bytes <= SMALL_BYTES {
            // A single large holder may have more than its share.
            let small: usize = small.iter().sum();
            return large.min(most_large) + small + bytes <= self.capacity;
        }
        large == 0 || large + bytes <= most_large
    }
}

/// Capacity of the buffer of a body of which `length` bytes have arrived. It doubles, but not beyond
/// `most`, the largest possible length.
#[must_use]
pub fn grown_capacity(capacity: usize, length: usize, most: usize) -> usize {
    let doubled = capacity.saturating_mul(2).max(MIN_CAPACITY);
    doubled.min(most).max(length).max(capacity)
}

/// Progress of an open body: enough of it must arrive in each window.
#[derive(Debug)]
pub struct BodyProgress {
    window: Duration,
    since: Instant,
    arrived: usize,
}

impl BodyProgress {
    /// The body begins `now`; windows are as long as the idle limit of connections.
    #[must_use]
    pub fn new(window: Duration, now: Instant) -> Self {
        Self {
            window,
            since: now,
            arrived: 0,
        }
    }

    /// Counts `bytes` that arrived.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.arrived += bytes;
        if self.arrived >= MIN_WINDOW_BYTES {
            self.arrived = 0;
            self.since = now;
        }
    }

    /// End of the window, by which enough must have arrived.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.since + self.window
    }
}
