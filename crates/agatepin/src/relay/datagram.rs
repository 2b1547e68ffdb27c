//! Datagrams between daemons: signs of life, load of engines, the roster of the fleet. They carry
//! what is sent again anyway.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::liveness::EntryListing;
use agatepin_core::relay::readers::CopyStatus;
use agatepin_core::relay::upstreams::{EngineReport, UpstreamState};
use eyre::{Result, WrapErr};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::relay::ports::MirrorTable;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Pause after a failure of a socket.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);

/// Gives the datagrams that come to `socket` to `take`, for good.
pub async fn receive<Take>(socket: Rc<UdpSocket>, take: Take)
where
    Take: Fn(SocketAddr, DatagramBody),
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!(err:%; "datagram not received");
                sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => datagram.body.into_iter().for_each(|body| take(from, body)),
            Err(err) => log::debug!("datagram from {from} left out: {err}"),
        }
    }
}

/// A datagram between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// What it carries.
    #[prost(oneof = "DatagramBody", tags = "1, 2, 3, 4, 5")]
    pub body: Option<DatagramBody>,
}

/// What a datagram carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DatagramBody {
    /// From an entry to the other entries.
    #[prost(message, tag = "1")]
    Hello(EntryHello),
    /// From an agent.
    #[prost(message, tag = "2")]
    Load(EngineLoad),
    /// From an entry of the same region.
    #[prost(message, tag = "3")]
    Requests(EntryRequests),
    /// From an entry to the agents that it tells of the fleet.
    #[prost(message, tag = "4")]
    Roster(FleetRoster),
    /// From an entry to entries of other regions.
    #[prost(message, tag = "5")]
    Engines(RegionEngines),
}

/// Load of the engines of a region, as an entry there knows it.
#[derive(Clone, PartialEq, Message)]
pub struct RegionEngines {
    /// Its engines.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineSummary>,
}

/// Load of one engine of another region.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EngineSummary {
    /// IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Requests there.
    #[prost(uint32, tag = "3")]
    pub load: u32,
    /// Prompt tokens of those whose answer has not begun.
    #[prost(uint32, tag = "4")]
    pub unread: u32,
    /// Version whose layers it holds completely; 0 for none.
    #[prost(uint64, tag = "5")]
    pub weights: u64,
    /// It takes no requests now.
    #[prost(bool, tag = "6")]
    pub away: bool,
}

impl EngineSummary {
    /// A summary of the engine at `address`; none where it has no IPv4 address.
    #[must_use]
    pub fn new(address: SocketAddr, state: &UpstreamState, now: Instant) -> Option<Self> {
        let report = state.report(now)?;
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        Some(Self {
            ip: ip.to_bits(),
            port: address.port().into(),
            load: state.load(now),
            unread: state.unread(now),
            weights: report.weights.unwrap_or_default(),
            away: report.busy || !report.up,
        })
    }

    /// Address of the engine; none where it is malformed.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        Some(SocketAddr::new(Ipv4Addr::from(self.ip).into(), port))
    }

    /// What it says as a report.
    #[must_use]
    pub fn report(&self) -> EngineReport {
        EngineReport {
            up: true,
            weights: Some(self.weights).filter(|version| *version > 0),
            busy: self.away,
            active: self.load,
            queued: 0,
            unread: self.unread,
        }
    }
}

/// Requests of an entry at upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct EntryRequests {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Upstreams that have any.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<UpstreamRequests>,
    /// Hashes of requests that it refused since it last told.
    #[prost(fixed64, repeated, tag = "3")]
    pub refused: Vec<u64>,
}

/// Requests of an entry at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct UpstreamRequests {
    /// Upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Prompt tokens of those whose answer has not begun.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
}

/// An entry's sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct EntryHello {
    /// Name of the entry.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// It takes callers.
    #[prost(bool, tag = "3")]
    pub ready: bool,
    /// Weights that it knows to be named.
    #[prost(message, repeated, tag = "4")]
    pub weights: Vec<AnnouncedWeights>,
    /// Requests that crashed upstreams.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<SuspectNews>,
    /// Address for callers.
    #[prost(string, tag = "7")]
    pub front: String,
    /// Data centre.
    #[prost(string, tag = "8")]
    pub data_centre: String,
    /// Region of the data centre.
    #[prost(string, tag = "9")]
    pub region: String,
    /// It reads the store by itself, and was answered lately.
    #[prost(bool, tag = "10")]
    pub reads_store: bool,
    /// What it knows of the store's tables.
    #[prost(message, repeated, tag = "11")]
    pub changes: Vec<TableChange>,
}

/// The newest change of a table that an entry knows.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TableChange {
    /// Number of the table.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Version of the change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

impl EntryHello {
    /// What the entry says of its copy of the store's tables.
    #[must_use]
    pub fn claim(&self) -> CopyStatus<MirrorTable> {
        let changes = self.changes.iter().filter_map(|change| {
            let table = MirrorTable::from_number(change.table)?;
            Some((table, change.version))
        });
        CopyStatus {
            reads_store: self.reads_store,
            changes: changes.collect(),
        }
    }

    /// The entry that sent this from `overlay`.
    ///
    /// # Errors
    /// Its address is not one.
    pub fn listing(&self, overlay: SocketAddr) -> Result<EntryListing> {
        let front = self.front.parse();
        Ok(EntryListing {
            incarnation: self.incarnation,
            front: front.wrap_err_with(|| format!("entry {} has no address", self.name))?,
            overlay,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
        })
    }
}

/// A model's named version.
#[derive(Clone, PartialEq, Message)]
pub struct AnnouncedWeights {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was named, as far as the entry knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// What an entry tells agents of the fleet.
#[derive(Clone, PartialEq, Message)]
pub struct FleetRoster {
    /// Weights that it knows to be named.
    #[prost(message, repeated, tag = "1")]
    pub weights: Vec<AnnouncedWeights>,
    /// Regions that the daemons below are in.
    #[prost(string, repeated, tag = "2")]
    pub regions: Vec<String>,
    /// Entries that it takes for alive, with itself.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<KnownDaemon>,
    /// Agents that it hears.
    #[prost(message, repeated, tag = "4")]
    pub agents: Vec<KnownDaemon>,
}

/// A daemon in a roster.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct KnownDaemon {
    /// IPv4 address.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port for other daemons.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Place of its region in the roster.
    #[prost(uint32, tag = "3")]
    pub region: u32,
    /// Version whose pieces an agent holds completely; 0 for none.
    #[prost(uint64, tag = "4")]
    pub holds: u64,
}

impl FleetRoster {
    /// Adds an entry.
    pub fn add_entry(&mut self, overlay: SocketAddr, region: &str) {
        let entry = self.daemon(overlay, region, 0);
        self.entries.extend(entry);
    }

    /// Adds an agent that holds the pieces of a version.
    pub fn add_agent(&mut self, overlay: SocketAddr, region: &str, holds: Option<WeightsVersion>) {
        let agent = self.daemon(overlay, region, holds.unwrap_or_default());
        self.agents.extend(agent);
    }

    /// The address and region of one of its daemons; none where it is malformed.
    #[must_use]
    pub fn locate(&self, daemon: &KnownDaemon) -> Option<(SocketAddr, &RegionId)> {
        let region = self.regions.get(daemon.region as usize)?;
        let port = u16::try_from(daemon.port).ok()?;
        Some((
            SocketAddr::new(Ipv4Addr::from(daemon.ip).into(), port),
            region,
        ))
    }

    fn daemon(&mut self, overlay: SocketAddr, region: &str, holds: u64) -> Option<KnownDaemon> {
        // The platform's machines have IPv4 addresses only.
        let IpAddr::V4(ip) = overlay.ip() else {
            return None;
        };
        let known = self.regions.iter().position(|known| known == region);
        let locate = known.unwrap_or_else(|| {
            self.regions.push(region.to_owned());
            self.regions.len() - 1
        });
        Some(KnownDaemon {
            ip: ip.to_bits(),
            port: overlay.port().into(),
            region: u32::try_from(locate).ok()?,
            holds,
        })
    }
}

/// A request that crashed an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectNews {
    /// Customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Digest of path and body.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The crashes.
    #[prost(string, repeated, tag = "3")]
    pub witnesses: Vec<String>,
}

/// Load of the engine beside an agent.
#[derive(Clone, PartialEq, Message)]
pub struct EngineLoad {
    /// Address of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// The engine answers.
    #[prost(bool, tag = "3")]
    pub up: bool,
    /// Version whose layers it holds completely; 0 for none.
    #[prost(uint64, tag = "4")]
    pub weights: u64,
    /// An order is in progress, or about to be given.
    #[prost(bool, tag = "5")]
    pub busy: bool,
    /// Requests that run.
    #[prost(uint32, tag = "6")]
    pub active: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "7")]
    pub queued: u32,
    /// Version whose pieces the agent holds completely; 0 for none.
    #[prost(uint64, tag = "8")]
    pub holds: u64,
}
