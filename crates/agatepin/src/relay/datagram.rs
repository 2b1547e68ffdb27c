//! UDP datagrams between daemons (entries and agents): heartbeats, requests in flight, load of
//! engines, and the roster of entries and agents. Each carries state that is sent again, so a lost
//! datagram needs no retransmission.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::peer_lines::{LineNews, PRIORITIES};
use agatepin_core::relay::readers::CopyStatus;
use agatepin_core::relay::request_suspects::RequestCrash;
use agatepin_core::relay::row_version::RowVersion;
use agatepin_core::relay::speed::SpeedFactor;
use agatepin_core::relay::upstreams::{EngineMemory, EngineReport, UpstreamState};
use eyre::{Result, WrapErr};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::relay::part_news::EntryParts;
use crate::relay::ports::MirrorTable;

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Largest number of waiting requests, or rate in requests in 1,000 s, that is believed: 1,000 in a second.
const MAX_COUNT: u32 = 1_000_000;
/// Pause after the socket failed to receive.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Receives datagrams from `socket` and passes them to `handle` until the task is dropped.
/// Malformed datagrams are skipped.
pub async fn receive<Handle>(socket: Rc<UdpSocket>, handle: Handle)
where
    Handle: Fn(SocketAddr, DatagramBody),
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!(err:%; "receive of a datagram failed");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => datagram
                .body
                .into_iter()
                .for_each(|body| handle(from, body)),
            Err(err) => log::debug!("malformed datagram from {from} skipped: {err}"),
        }
    }
}

/// Datagram between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// Content; none if its kind is unknown.
    #[prost(oneof = "DatagramBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<DatagramBody>,
}

/// Content of a datagram.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DatagramBody {
    /// Heartbeat from an entry to the other entries.
    #[prost(message, tag = "1")]
    Hello(EntryHeartbeat),
    /// Load of an engine (model server), from the agent beside it to entries.
    #[prost(message, tag = "2")]
    Load(EngineLoad),
    /// Requests in flight, from an entry to the entries of its region.
    #[prost(message, tag = "3")]
    Requests(EntryRequests),
    /// Known entries and agents, from an entry to the agents that it is responsible for.
    #[prost(message, tag = "4")]
    Roster(FleetRoster),
    /// Load of all engines of a region, from an entry there to entries of other regions.
    #[prost(message, tag = "5")]
    Engines(RegionEngines),
    /// Evidence on parts of prompts whose requests crash upstreams, from an entry to other entries.
    #[prost(message, tag = "6")]
    Parts(EntryParts),
}

/// Load of the engines of a region, as known to an entry there.
#[derive(Clone, PartialEq, Message)]
pub struct RegionEngines {
    /// Engines of the sender's region that it has fresh reports of.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineSummary>,
}

/// Load of one engine, for entries of other regions.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EngineSummary {
    /// IPv4 address, with the first byte in the highest bits.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// TCP port of the engine for requests.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Number of requests at the engine, running or queued, as far as the sender knows.
    #[prost(uint32, tag = "3")]
    pub load: u32,
    /// Prompt tokens that are not yet prefilled: those of requests whose answer has not begun.
    #[prost(uint32, tag = "4")]
    pub unread: u32,
    /// Version of the weights that the engine holds completely; 0 for none.
    #[prost(uint64, tag = "5")]
    pub weights: u64,
    /// The engine accepts no requests now: it is down, or it is loading weights by an order of its
    /// agent.
    #[prost(bool, tag = "6")]
    pub unavailable: bool,
    /// Time that work takes at the engine as a multiple of the usual time, in thousandths; none from
    /// earlier versions and where the engine does not state it.
    #[prost(uint32, optional, tag = "7")]
    pub speed: Option<u32>,
    /// Memory for prompts and answers that cannot be freed, in tokens times layers.
    #[prost(uint64, tag = "8")]
    pub memory_used: u64,
    /// Memory for prompts and answers, in tokens times layers; 0 if it is not known.
    #[prost(uint64, tag = "9")]
    pub memory_max: u64,
}

impl EngineSummary {
    /// Summarises the engine at `address`; none if there is no fresh report or no IPv4 address.
    #[must_use]
    pub fn new(address: SocketAddr, state: &UpstreamState, now: Instant) -> Option<Self> {
        let report = state.report(now)?;
        let memory = report.memory;
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        Some(Self {
            ip: ip.to_bits(),
            port: address.port().into(),
            load: state.load(now),
            unread: state.unread(now),
            weights: report.weights.unwrap_or_default(),
            unavailable: report.busy || !report.up,
            speed: state.stated_speed(now).map(SpeedFactor::thousandths),
            memory_used: memory.map_or(0, |memory| memory.used),
            memory_max: memory.map_or(0, |memory| memory.max),
        })
    }

    /// Address of the engine; none if the port is invalid.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        Some(SocketAddr::new(Ipv4Addr::from(self.ip).into(), port))
    }

    /// Converts the summary into a report. An unavailable engine is reported as busy.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        EngineReport {
            up: true,
            weights: Some(self.weights).filter(|version| *version > 0),
            busy: self.unavailable,
            active: self.load,
            queued: 0,
            unread: self.unread,
            pace: self.speed.and_then(SpeedFactor::from_thousandths),
            memory: known_memory(self.memory_used, self.memory_max),
        }
    }
}

/// Requests of an entry that are in flight at upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct EntryRequests {
    /// Name of the sending entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Upstreams with requests of this entry; all others have none.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<UpstreamRequests>,
    // Tag 3 is used by earlier versions, which send hashes of refused requests in it.
    /// Lines of waiting requests, by service; earlier versions send none.
    #[prost(message, repeated, tag = "4")]
    pub lines: Vec<LineRecord>,
}

/// Line of an entry's waiting requests for one service.
#[derive(Clone, PartialEq, Message)]
pub struct LineRecord {
    /// Id of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of waiting requests by priority, from 0; priorities that are left out have none.
    #[prost(uint32, repeated, tag = "2")]
    pub waiting: Vec<u32>,
    /// Requests that arrive in 1,000 s by priority, likewise.
    #[prost(uint32, repeated, tag = "3")]
    pub arrivals_per_1000_s: Vec<u32>,
    /// Requests that get a place in 1,000 s.
    #[prost(uint32, tag = "4")]
    pub places_per_1000_s: u32,
    /// Number of callers that were told to come back and are still expected.
    #[prost(uint32, tag = "5")]
    pub promised: u32,
    /// Requests have waited for too long for some time.
    #[prost(bool, tag = "6")]
    pub is_standing: bool,
}

impl LineRecord {
    /// Record of the line of `service`; none if there is nothing to tell.
    #[must_use]
    pub fn new(service: &str, news: &LineNews) -> Option<Self> {
        if *news == LineNews::default() {
            return None;
        }
        Some(Self {
            service: service.to_owned(),
            waiting: without_last_zeros(&news.waiting),
            arrivals_per_1000_s: without_last_zeros(&news.arrivals_per_1000_s),
            places_per_1000_s: news.places_per_1000_s,
            promised: news.promised,
            is_standing: news.is_standing,
        })
    }
}

impl From<&LineRecord> for LineNews {
    fn from(record: &LineRecord) -> Self {
        Self {
            waiting: by_priority(&record.waiting),
            arrivals_per_1000_s: by_priority(&record.arrivals_per_1000_s),
            places_per_1000_s: record.places_per_1000_s.min(MAX_COUNT),
            promised: record.promised.min(MAX_COUNT),
            is_standing: record.is_standing,
        }
    }
}

fn without_last_zeros(counts: &[u32]) -> Vec<u32> {
    let last = counts.iter().rposition(|count| *count > 0);
    counts[..last.map_or(0, |last| last + 1)].to_vec()
}

/// Counts by priority. Priorities beyond the known ones are ignored, and absurd counts are limited.
fn by_priority(counts: &[u32]) -> [u32; PRIORITIES] {
    std::array::from_fn(|priority| {
        counts
            .get(priority)
            .map_or(0, |count| *count.min(&MAX_COUNT))
    })
}

/// Requests of an entry at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamRequests {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests that were sent and not yet answered completely.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens that are not yet prefilled: those of requests whose answer has not begun.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
}

/// Heartbeat of an entry, with what other entries need to know of it.
#[derive(Clone, PartialEq, Message)]
pub struct EntryHeartbeat {
    /// Name of the sending entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number of the sending process, which tells it from earlier processes of the same name.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The entry accepts requests of callers.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Versions of weights whose announcement by operators the entry knows.
    #[prost(message, repeated, tag = "4")]
    pub weights: Vec<AnnouncedWeights>,
    /// Suspects: requests that crashed upstreams.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<SuspectNews>,
    /// Socket address on which the entry accepts callers' requests.
    #[prost(string, tag = "7")]
    pub front: String,
    /// Data centre of the entry.
    #[prost(string, tag = "8")]
    pub data_centre: String,
    /// Region of the data centre.
    #[prost(string, tag = "9")]
    pub region: String,
    /// The entry reads the store by itself and was answered recently.
    #[prost(bool, tag = "10")]
    pub reads_store: bool,
    /// Newest change that the entry knows of each table of the store.
    #[prost(message, repeated, tag = "11")]
    pub changes: Vec<TableVersion>,
    /// Time since which the store has answered each read of the entry, in milliseconds; 0 if it
    /// answered none since the last failed one.
    #[prost(uint64, tag = "12")]
    pub answered_ms: u64,
    /// Upstreams that said recently that they are leaving.
    #[prost(message, repeated, tag = "13")]
    pub leaving: Vec<LeavingNews>,
    /// Version of the entry's last read of all rows of each table of the store.
    #[prost(message, repeated, tag = "14")]
    pub full_reads: Vec<TableVersion>,
    /// Limits that upstreams state, or have stated until recently, in answers to the entry.
    #[prost(message, repeated, tag = "15")]
    pub limits: Vec<LimitNews>,
}

/// Limit that an upstream states in its answers, or that it states none any more.
#[derive(Clone, PartialEq, Message)]
pub struct LimitNews {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream, in milliseconds since the Unix epoch, as its row stated it.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Requests in 1,000 s that the upstream takes from all entries together; none if it has no limit.
    #[prost(uint32, optional, tag = "3")]
    pub per_1000_s: Option<u32>,
    /// Time since the latest answer that showed this, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// An upstream that said in an answer that it is leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingNews {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream, in milliseconds since the Unix epoch, as its row stated it.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Time since the answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Version of one table of the store, such as that of the newest change that an entry knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TableVersion {
    /// Number of the table, as in `MirrorTable::number`.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Number of the table service's state.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Era of the table service; 0 from daemons that know none.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

impl From<&TableVersion> for RowVersion {
    fn from(of: &TableVersion) -> Self {
        Self {
            era: of.era,
            number: of.version,
        }
    }
}

impl EntryHeartbeat {
    /// State of the entry's copy of the store's tables. Unknown tables are skipped.
    #[must_use]
    pub fn copy_status(&self) -> CopyStatus<MirrorTable> {
        let by_table = |versions: &[TableVersion]| {
            let known = versions
                .iter()
                .filter_map(|of| Some((MirrorTable::from_number(of.table)?, of.into())));
            known.collect()
        };
        CopyStatus {
            reads_store: self.reads_store,
            changes: by_table(&self.changes),
            full_reads: by_table(&self.full_reads),
            answered_for: Duration::from_millis(self.answered_ms),
        }
    }

    /// Listing of the entry that sent this from the address `overlay`.
    ///
    /// # Errors
    /// The address for callers is malformed.
    pub fn listing(&self, overlay: SocketAddr) -> Result<EntryListing> {
        let front = self.front.parse();
        Ok(EntryListing {
            incarnation: self.incarnation,
            front: front
                .wrap_err_with(|| format!("entry {}: malformed front address", self.name))?,
            overlay,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
        })
    }
}

/// Announced version of a model's weights.
#[derive(Clone, PartialEq, Message)]
pub struct AnnouncedWeights {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Announced version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since operators announced the version, as far as the sender knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Daemons and announced weights that an entry knows of, for agents.
#[derive(Clone, PartialEq, Message)]
pub struct FleetRoster {
    /// Versions of weights whose announcement by operators the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub weights: Vec<AnnouncedWeights>,
    /// Regions of the daemons below, which refer to them by index.
    #[prost(string, repeated, tag = "2")]
    pub regions: Vec<String>,
    /// Entries that are considered alive, including the sender.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RosterDaemon>,
    /// Agents that the sender receives reports from.
    #[prost(message, repeated, tag = "4")]
    pub agents: Vec<RosterDaemon>,
    /// The sender has read the operators' table: no newer versions than `weights` were announced when
    /// it last read that.
    #[prost(bool, tag = "5")]
    pub knows_weights: bool,
}

/// Entry or agent in a roster.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RosterDaemon {
    /// IPv4 address, with the first byte in the highest bits.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Overlay port: UDP for datagrams and TCP for pulls of other daemons.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Index of the daemon's region in the roster's `regions`.
    #[prost(uint32, tag = "3")]
    pub region: u32,
    /// Version of the weights of which an agent holds all pieces; 0 for none and for entries.
    #[prost(uint64, tag = "4")]
    pub holds: u64,
}

impl FleetRoster {
    /// Adds an entry with its overlay address.
    pub fn add_entry(&mut self, overlay: SocketAddr, region: &str) {
        let entry = self.daemon(overlay, region, 0);
        self.entries.extend(entry);
    }

    /// Adds an agent with its overlay address and the version of the weights of which it holds all
    /// pieces.
    pub fn add_agent(&mut self, overlay: SocketAddr, region: &str, holds: Option<WeightsVersion>) {
        let agent = self.daemon(overlay, region, holds.unwrap_or_default());
        self.agents.extend(agent);
    }

    /// Overlay address and region of a daemon of this roster; none if it is malformed.
    #[must_use]
    pub fn locate(&self, daemon: &RosterDaemon) -> Option<(SocketAddr, &RegionId)> {
        let region = self.regions.get(daemon.region as usize)?;
        let port = u16::try_from(daemon.port).ok()?;
        Some((
            SocketAddr::new(Ipv4Addr::from(daemon.ip).into(), port),
            region,
        ))
    }

    /// Builds the record of a daemon, and adds its region to the roster if it is new.
    fn daemon(&mut self, overlay: SocketAddr, region: &str, holds: u64) -> Option<RosterDaemon> {
        // Daemons without an IPv4 address are skipped: the platform's machines have no others.
        let IpAddr::V4(ip) = overlay.ip() else {
            return None;
        };
        let known = self.regions.iter().position(|known| known == region);
        let index = known.unwrap_or_else(|| {
            self.regions.push(region.to_owned());
            self.regions.len() - 1
        });
        Some(RosterDaemon {
            ip: ip.to_bits(),
            port: overlay.port().into(),
            region: u32::try_from(index).ok()?,
            holds,
        })
    }
}

/// Request that crashed upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectNews {
    /// Customer of the caller; empty if anonymous.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// BLAKE3 digest of the request's path and body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// Crashes of upstreams during attempts of the request.
    #[prost(message, repeated, tag = "4")]
    pub crashes: Vec<CrashNews>,
    /// An upstream has answered the request.
    #[prost(bool, tag = "5")]
    pub is_sound: bool,
}

/// Crash of an upstream during an attempt of a request.
#[derive(Clone, PartialEq, Message)]
pub struct CrashNews {
    /// Life of the upstream, so that each crash counts once.
    #[prost(string, tag = "1")]
    pub upstream_life: String,
    /// Time since the attempt was sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub sent_ms: u64,
    /// Time since its break was noticed, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub seen_ms: u64,
    /// The answer had begun.
    #[prost(bool, tag = "4")]
    pub is_late: bool,
}

impl CrashNews {
    /// News of `crash` for another process.
    #[must_use]
    pub fn new(crash: &RequestCrash, now: Instant) -> Self {
        let age = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        Self {
            upstream_life: crash.upstream_life.clone(),
            sent_ms: age(crash.sent),
            seen_ms: age(crash.seen),
            is_late: crash.is_late,
        }
    }

    /// The crash of which this is news.
    #[must_use]
    pub fn crash(self, now: Instant) -> RequestCrash {
        let at = |age_ms| {
            let age = Duration::from_millis(age_ms);
            now.checked_sub(age).unwrap_or(now)
        };
        RequestCrash {
            sent: at(self.sent_ms),
            seen: at(self.seen_ms),
            is_late: self.is_late,
            upstream_life: self.upstream_life,
        }
    }
}

/// Load of an engine, as its agent reports it.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoad {
    /// Socket address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Region of the agent and its engine.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The engine answers its agent.
    #[prost(bool, tag = "3")]
    pub up: bool,
    /// Version of the weights that the engine holds completely; 0 for none.
    #[prost(uint64, tag = "4")]
    pub weights: u64,
    /// The engine is loading weights by an order of its agent, or is about to get such an order.
    #[prost(bool, tag = "5")]
    pub busy: bool,
    /// Requests that the engine is running.
    #[prost(uint32, tag = "6")]
    pub active: u32,
    /// Requests that are queued at the engine.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Version of the weights of which the agent holds all pieces; 0 for none.
    #[prost(uint64, tag = "8")]
    pub holds: u64,
    /// Newest announced versions that the agent was told of at earlier times.
    #[prost(message, repeated, tag = "9")]
    pub newest: Vec<NewestWeights>,
    /// Time that work takes at the engine as a multiple of the usual time, in thousandths; none from
    /// earlier versions and where the engine does not report it.
    #[prost(uint32, optional, tag = "10")]
    pub pace: Option<u32>,
    /// Memory for prompts and answers that cannot be freed, in tokens times layers.
    #[prost(uint64, tag = "11")]
    pub memory_used: u64,
    /// Memory for prompts and answers, in tokens times layers; 0 if it is not known.
    #[prost(uint64, tag = "12")]
    pub memory_max: u64,
}

impl EngineLoad {
    /// Memory of the engine; none if it is not known.
    #[must_use]
    pub fn memory(&self) -> Option<EngineMemory> {
        known_memory(self.memory_used, self.memory_max)
    }
}

fn known_memory(used: u64, max: u64) -> Option<EngineMemory> {
    (max > 0).then_some(EngineMemory { used, max })
}

/// Newest announced version of the weights at a time in the past.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct NewestWeights {
    /// Version that was the newest one; 0 if none was announced.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Time since the last roster in which it was the newest one, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}
