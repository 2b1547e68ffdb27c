//! Messages between entries and agents: signs of life, load of engines, rows and pieces.
//!
//! Datagrams carry what is sent again anyway. Rows and pieces are pulled over TCP, one pull a
//! connection, in frames with a length before them.

use std::net::SocketAddr;
use std::time::Duration;

use agatepin_core::relay::liveness::EntryListing;
use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, eyre};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, Framed, LengthDelimitedCodec};

use crate::relay::ports::{MirrorTable, RowVersion, TableRead, TableRow};

/// Longest frame, in bytes: above all rows of a large fleet.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Time for a connection to another daemon: one lost packet and the longest way.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Buffers of a connection for pulls: enough to fill a machine's link, and so small that what
/// else uses the link does not wait long behind it.
pub const PULL_BUFFER_BYTES: u32 = 16 * 1024;
/// Time for a pull of rows.
const ROWS_TIMEOUT: Duration = Duration::from_millis(800);

/// A datagram between daemons.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// What it carries.
    #[prost(oneof = "DatagramBody", tags = "1, 2, 3")]
    pub body: Option<DatagramBody>,
}

/// What a datagram carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum DatagramBody {
    /// From an entry.
    #[prost(message, tag = "1")]
    Hello(EntryHello),
    /// From an agent.
    #[prost(message, tag = "2")]
    Load(EngineLoad),
    /// From an entry of the same region.
    #[prost(message, tag = "3")]
    Requests(EntryRequests),
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
    pub weights: Vec<NamedWeights>,
    /// Agents that it hears.
    #[prost(message, repeated, tag = "5")]
    pub agents: Vec<KnownAgent>,
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
}

impl EntryHello {
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
pub struct NamedWeights {
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

/// An agent as an entry knows it.
#[derive(Clone, PartialEq, Message)]
pub struct KnownAgent {
    /// Overlay address.
    #[prost(string, tag = "1")]
    pub overlay: String,
    /// Region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Version whose pieces it holds completely; 0 for none.
    #[prost(uint64, tag = "3")]
    pub holds: u64,
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

/// What one daemon pulls from another.
#[derive(Clone, PartialEq, Message)]
pub struct PullRequest {
    /// What is pulled.
    #[prost(oneof = "PullWish", tags = "1, 2, 3")]
    pub wish: Option<PullWish>,
}

/// What is pulled.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PullWish {
    /// Rows of a table.
    #[prost(message, tag = "1")]
    Rows(RowsWish),
    /// A piece of weights.
    #[prost(message, tag = "2")]
    Piece(PieceWish),
    /// Digests of the pieces.
    #[prost(message, tag = "3")]
    Digests(DigestsWish),
}

/// Rows of a table that are newer than a version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RowsWish {
    /// 0: operator, 1: upstreams, 2: entries.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Version that is known.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// A piece of weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PieceWish {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Number of the piece.
    #[prost(uint32, tag = "3")]
    pub piece: u32,
}

/// Digests of a version's pieces.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestsWish {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Answer to a pull.
#[derive(Clone, PartialEq, Message)]
pub struct PullAnswer {
    /// It is here.
    #[prost(bool, tag = "1")]
    pub found: bool,
    /// A piece, or digests one after the other.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Rows.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<WireRow>,
    /// Version of the rows.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Milliseconds on the store's clock.
    #[prost(uint64, tag = "5")]
    pub time_ms: u64,
}

/// A row between entries.
#[derive(Clone, PartialEq, Message)]
pub struct WireRow {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
}

impl From<MirrorTable> for RowsWish {
    fn from(table: MirrorTable) -> Self {
        let table = match table {
            MirrorTable::Operator => 0,
            MirrorTable::Upstreams => 1,
            MirrorTable::Entries => 2,
        };
        Self { table, after: 0 }
    }
}

impl RowsWish {
    /// The table; none where the number is unknown.
    #[must_use]
    pub fn mirror_table(&self) -> Option<MirrorTable> {
        match self.table {
            0 => Some(MirrorTable::Operator),
            1 => Some(MirrorTable::Upstreams),
            2 => Some(MirrorTable::Entries),
            _ => None,
        }
    }
}

impl From<TableRead> for PullAnswer {
    fn from(read: TableRead) -> Self {
        let rows = read.rows.into_iter();
        let rows = rows.filter_map(|row| {
            Some(WireRow {
                key: row.key,
                version: row.version,
                value: row.value?,
            })
        });
        Self {
            found: true,
            data: Bytes::new(),
            rows: rows.collect(),
            version: read.version,
            time_ms: u64::try_from(read.time.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<PullAnswer> for TableRead {
    fn from(answer: PullAnswer) -> Self {
        let rows = answer.rows.into_iter();
        let rows = rows.map(|row| TableRow {
            key: row.key,
            version: row.version,
            value: Some(row.value),
        });
        Self {
            rows: rows.collect(),
            version: answer.version,
            time: Duration::from_millis(answer.time_ms),
        }
    }
}

/// A row of the entries' table, as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    incarnation: u64,
    front: SocketAddr,
    overlay: SocketAddr,
    data_centre: String,
    region: String,
}

impl EntryRow {
    /// Reads a row.
    ///
    /// # Errors
    /// It is not what an entry writes.
    pub fn parse(value: &[u8]) -> Result<EntryListing> {
        let row: Self = serde_json::from_slice(value).wrap_err("not a row of an entry")?;
        Ok(EntryListing {
            incarnation: row.incarnation,
            front: row.front,
            overlay: row.overlay,
            data_centre: row.data_centre,
            region: row.region,
        })
    }

    /// Writes a row.
    ///
    /// # Errors
    /// It cannot be written as JSON.
    pub fn write(listing: &EntryListing) -> Result<Bytes> {
        let row = Self {
            incarnation: listing.incarnation,
            front: listing.front,
            overlay: listing.overlay,
            data_centre: listing.data_centre.clone(),
            region: listing.region.clone(),
        };
        Ok(Bytes::from(serde_json::to_vec(&row)?))
    }
}

/// When entries learnt of new weights, as it stands in the entries' table: an entry that starts
/// learns how old the naming is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Milliseconds on the store's clock.
    pub named_ms: u64,
}

impl WeightsRow {
    /// What the keys of these rows begin with.
    pub const PREFIX: &str = "weights/";

    /// Key of the row.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}{}/{}", Self::PREFIX, self.model, self.version)
    }

    /// Reads a row.
    ///
    /// # Errors
    /// It is not what an entry writes.
    pub fn parse(value: &[u8]) -> Result<Self> {
        serde_json::from_slice(value).wrap_err("not a row of named weights")
    }

    /// Writes a row.
    ///
    /// # Errors
    /// It cannot be written as JSON.
    pub fn write(&self) -> Result<Bytes> {
        Ok(Bytes::from(serde_json::to_vec(self)?))
    }
}

/// A connection for pulls, in frames.
pub type PullConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames for `stream`.
#[must_use]
pub fn frames(stream: TcpStream) -> PullConnection {
    Framed::new(stream, pull_codec())
}

fn pull_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Pulls from another daemon.
///
/// # Errors
/// There is no answer within `total`, or it is broken.
pub async fn pull(peer: SocketAddr, wish: PullWish, total: Duration) -> Result<PullAnswer> {
    let exchange = async {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(PULL_BUFFER_BYTES)?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(peer)).await??;
        let mut connection = frames(stream);
        let request = PullRequest { wish: Some(wish) };
        connection
            .send(Bytes::from(request.encode_to_vec()))
            .await?;
        let frame = connection.next().await;
        let frame = frame.ok_or_else(|| eyre!("closed without an answer"))??;
        Ok(PullAnswer::decode(frame.freeze())?)
    };
    timeout(total, exchange).await?
}

/// Pulls rows newer than `after`; none where the peer has none or does not answer.
pub async fn pull_rows(
    peer: SocketAddr,
    table: MirrorTable,
    after: RowVersion,
) -> Option<TableRead> {
    let wish = RowsWish {
        after,
        ..RowsWish::from(table)
    };
    match pull(peer, PullWish::Rows(wish), ROWS_TIMEOUT).await {
        Ok(answer) => answer.found.then(|| answer.into()),
        Err(err) => {
            log::debug!(peer:%, err:%; "rows not pulled");
            None
        }
    }
}

/// Reads what the other side of a connection pulls.
///
/// # Errors
/// The connection breaks or carries something else.
pub async fn read_wish(connection: &mut PullConnection) -> Result<PullWish> {
    let frame = timeout(ROWS_TIMEOUT, connection.next()).await?;
    let frame = frame.ok_or_else(|| eyre!("closed without a request"))??;
    let request = PullRequest::decode(frame.freeze())?;
    request.wish.ok_or_else(|| eyre!("a pull without a wish"))
}

/// Writes the answer to a pull.
///
/// # Errors
/// The connection breaks.
pub async fn write_answer(connection: &mut PullConnection, answer: &PullAnswer) -> Result<()> {
    connection.send(Bytes::from(answer.encode_to_vec())).await?;
    Ok(())
}

/// An answer as it goes over a connection for pulls, with its length before it.
///
/// # Errors
/// It is longer than a frame may be.
pub fn frame_bytes(answer: &PullAnswer) -> Result<Bytes> {
    let mut frame = BytesMut::new();
    let data = Bytes::from(answer.encode_to_vec());
    pull_codec().encode(data, &mut frame)?;
    Ok(frame.freeze())
}
