//! Pulls (queries for data) between daemons over TCP: rows of the platform's tables, ranges of pieces
//! of weights and the digests of such pieces. A connection carries queries, each followed by its
//! answer, as length-prefixed frames.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::{Result, eyre};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, Framed, LengthDelimitedCodec};

use crate::relay::ports::{MirrorTable, TableRead, TableRow};
use crate::relay::table_copy::RowsCopy;
use agatepin_core::relay::row_version::RowVersion;

/// Largest frame (one query or answer), in bytes: above the size of all rows of a large fleet.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Timeout of the connection to another daemon: covers the longest round trip and one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the socket buffers of a connection for pulls, in bytes: enough to fill a machine's link,
/// and small enough that other traffic on the link is not queued for long.
pub const PULL_BUFFER_BYTES: u32 = 16 * 1024;
/// Longest pause in a pull of rows, and timeout of the arrival of a query on an accepted connection.
const ROWS_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a complete pull of rows: a large configuration takes long over a busy link.
const LONG_ROWS_TIMEOUT: Duration = Duration::from_secs(4);

/// Message that asks another daemon for data.
#[derive(Clone, PartialEq, Message)]
pub struct PullRequest {
    /// Requested data; absent only in malformed messages.
    #[prost(oneof = "PullQuery", tags = "1, 2, 3, 4")]
    pub query: Option<PullQuery>,
}

/// Data that one daemon can pull from another.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PullQuery {
    /// Rows of a table, from an entry.
    #[prost(message, tag = "1")]
    Rows(RowsQuery),
    /// Piece of weights, from an agent.
    #[prost(message, tag = "2")]
    Piece(PieceQuery),
    /// Digests of all pieces of a version, from an agent.
    #[prost(message, tag = "3")]
    Digests(DigestsQuery),
    /// Which of some pieces an agent has.
    #[prost(message, tag = "4")]
    Ready(ReadyQuery),
}

/// Query for the rows of a table that are newer than a version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RowsQuery {
    /// Number of the table, as in `MirrorTable::number`.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Number of the version up to which the sender of the query has all changes; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Era of that version.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

impl RowsQuery {
    /// Version up to which the sender of the query has all changes.
    #[must_use]
    pub fn after(&self) -> RowVersion {
        RowVersion {
            era: self.era,
            number: self.after,
        }
    }
}

/// Query for one piece of weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PieceQuery {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Number of the piece, from 0.
    #[prost(uint32, tag = "3")]
    pub piece: u32,
    /// First byte of the requested range of the piece.
    #[prost(uint32, tag = "4")]
    pub offset: u32,
    /// Length of the requested range, in bytes; 0 for the rest of the piece.
    #[prost(uint32, tag = "5")]
    pub length: u32,
}

/// Query for the digests of all pieces of a version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DigestsQuery {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Query for the numbers of those pieces that an agent has, answered as soon as it has one of them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReadyQuery {
    /// Model of the weights.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version of the weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Numbers of the pieces that the sender of the query misses; the number after the last piece
    /// stands for the digests of all pieces.
    #[prost(uint32, repeated, tag = "3")]
    pub pieces: Vec<u32>,
}

/// Answer to a pull.
#[derive(Clone, PartialEq, Message)]
pub struct PullAnswer {
    /// The other fields hold the requested data; if false, they are all empty.
    #[prost(bool, tag = "1")]
    pub found: bool,
    /// The requested range of a piece, or the SHA-256 digests of all pieces, 32 bytes each,
    /// concatenated; empty in answers with rows.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
    /// Rows of the requested table.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<WireRow>,
    /// Number of the table's version that the rows bring the receiver to.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Reading of the store's monotonic clock when the answer was sent, in milliseconds, as the sender
    /// estimates it.
    #[prost(uint64, tag = "5")]
    pub time_ms: u64,
    /// The rows are only those that changed since the requested version.
    #[prost(bool, tag = "6")]
    pub changes_only: bool,
    /// Rows may be missing only because they expired while the store was unreachable.
    #[prost(bool, tag = "7")]
    pub may_have_lapsed: bool,
    /// Size of the whole piece, in bytes; 0 in answers without a piece.
    #[prost(uint32, tag = "8")]
    pub size: u32,
    /// Numbers of the requested pieces that the agent has, in answers to [`ReadyQuery`].
    #[prost(uint32, repeated, tag = "9")]
    pub ready: Vec<u32>,
    /// Era of the table's version.
    #[prost(uint64, tag = "10")]
    pub era: u64,
}

/// Row of a table in an answer.
#[derive(Clone, PartialEq, Message)]
pub struct WireRow {
    /// Key of the row in its table.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Number of the version of the row's last change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Encoded value as the store has it; empty if the row was removed.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
    /// The row was removed.
    #[prost(bool, tag = "4")]
    pub removed: bool,
    /// Era of the version of the row's last change.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

impl From<RowsCopy> for PullAnswer {
    fn from(copy: RowsCopy) -> Self {
        let rows = copy.read.rows.into_iter();
        let rows = rows.map(|row| WireRow {
            key: row.key,
            version: row.version.number,
            era: row.version.era,
            removed: row.value.is_none(),
            value: row.value.unwrap_or_default(),
        });
        Self {
            found: true,
            data: Bytes::new(),
            rows: rows.collect(),
            version: copy.read.version.number,
            era: copy.read.version.era,
            time_ms: u64::try_from(copy.read.time.as_millis()).unwrap_or(u64::MAX),
            changes_only: copy.changes_only,
            may_have_lapsed: copy.may_have_lapsed,
            size: 0,
            ready: Vec::new(),
        }
    }
}

impl From<PullAnswer> for RowsCopy {
    fn from(answer: PullAnswer) -> Self {
        let rows = answer.rows.into_iter();
        let rows = rows.map(|row| TableRow {
            key: row.key,
            version: RowVersion {
                era: row.era,
                number: row.version,
            },
            value: (!row.removed).then_some(row.value),
        });
        Self {
            read: TableRead {
                rows: rows.collect(),
                version: RowVersion {
                    era: answer.era,
                    number: answer.version,
                },
                time: Duration::from_millis(answer.time_ms),
            },
            changes_only: answer.changes_only,
            may_have_lapsed: answer.may_have_lapsed,
        }
    }
}

/// Connection for pulls that reads and writes frames.
pub type PullConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// Wraps `stream` for reading and writing frames.
#[must_use]
pub fn pull_connection(stream: TcpStream) -> PullConnection {
    Framed::new(stream, pull_codec())
}

/// Codec of frames: a length prefix, then the encoded query or answer.
fn pull_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Connection to another daemon that carries one query after the other.
pub struct PullClient {
    connection: PullConnection,
}

impl PullClient {
    /// Connects to the daemon at `peer`.
    ///
    /// # Errors
    /// The connection was not established within [`CONNECT_TIMEOUT`].
    pub async fn connect(peer: SocketAddr) -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(PULL_BUFFER_BYTES)?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(peer)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            connection: pull_connection(stream),
        })
    }

    /// Sends a query and returns its answer, of which some bytes must arrive every [`ROWS_TIMEOUT`].
    ///
    /// # Errors
    /// The connection broke or went silent, or the answer is malformed.
    async fn ask_steadily(&mut self, query: PullQuery) -> Result<PullAnswer> {
        let request = PullRequest { query: Some(query) };
        let request = Bytes::from(request.encode_to_vec());
        self.connection.send(request).await?;
        let mut received = 0;
        loop {
            let frame = timeout(ROWS_TIMEOUT, self.connection.next()).await;
            if let Ok(frame) = frame {
                let frame = frame.ok_or_else(|| eyre!("connection closed before an answer"))??;
                return Ok(PullAnswer::decode(frame.freeze())?);
            }
            let buffered = self.connection.read_buffer().len();
            if buffered <= received {
                return Err(eyre!("no bytes of an answer within {ROWS_TIMEOUT:?}"));
            }
            received = buffered;
        }
    }

    /// Sends a query and returns its answer.
    ///
    /// # Errors
    /// The connection broke, or the answer is malformed.
    pub async fn ask(&mut self, query: PullQuery) -> Result<PullAnswer> {
        let request = PullRequest { query: Some(query) };
        let request = Bytes::from(request.encode_to_vec());
        self.connection.send(request).await?;
        let frame = self.connection.next().await;
        let frame = frame.ok_or_else(|| eyre!("connection closed before an answer arrived"))??;
        Ok(PullAnswer::decode(frame.freeze())?)
    }
}

/// Sends one query to another daemon and returns its answer.
///
/// # Errors
/// The connection was not established or broke, the answer is malformed, or it was incomplete after
/// `time_limit`.
pub async fn pull(peer: SocketAddr, query: PullQuery, time_limit: Duration) -> Result<PullAnswer> {
    let exchange = async { PullClient::connect(peer).await?.ask(query).await };
    timeout(time_limit, exchange).await?
}

/// Pulls the rows of `table` that are newer than the version `after` from the entry at `peer`; none if
/// the peer has no newer rows or does not answer.
pub async fn pull_rows(
    peer: SocketAddr,
    table: MirrorTable,
    after: RowVersion,
) -> Option<RowsCopy> {
    let query = RowsQuery {
        table: table.number(),
        after: after.number,
        era: after.era,
    };
    let exchange = async {
        let mut client = PullClient::connect(peer).await?;
        client.ask_steadily(PullQuery::Rows(query)).await
    };
    match timeout(LONG_ROWS_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|late| Err(late.into()))
    {
        Ok(answer) => answer.found.then(|| answer.into()),
        Err(err) => {
            log::debug!(peer:%, err:%; "pull of table rows from another entry failed");
            None
        }
    }
}

/// Reads the first query of a connection.
///
/// # Errors
/// The connection breaks, no query arrives in time, or the query is malformed.
pub async fn read_query(connection: &mut PullConnection) -> Result<PullQuery> {
    let query = next_query(connection, ROWS_TIMEOUT).await?;
    query.ok_or_else(|| eyre!("connection closed before a query arrived"))
}

/// Reads the next query of a connection; none if the peer closed it.
///
/// # Errors
/// The connection breaks, no query arrives within `time_limit`, or the query is malformed.
pub async fn next_query(
    connection: &mut PullConnection,
    time_limit: Duration,
) -> Result<Option<PullQuery>> {
    let Some(frame) = timeout(time_limit, connection.next()).await? else {
        return Ok(None);
    };
    let request = PullRequest::decode(frame?.freeze())?;
    let query = request.query;
    Ok(Some(
        query.ok_or_else(|| eyre!("pull request has no query"))?,
    ))
}

/// Writes the answer to a query.
///
/// # Errors
/// The connection breaks.
pub async fn write_answer(connection: &mut PullConnection, answer: &PullAnswer) -> Result<()> {
    connection.send(Bytes::from(answer.encode_to_vec())).await?;
    Ok(())
}

/// Encodes an answer as a frame with its length prefix, for callers that write the bytes in parts.
///
/// # Errors
/// The answer is larger than a frame may be.
pub fn encode_frame(answer: &PullAnswer) -> Result<Bytes> {
    let mut frame = BytesMut::new();
    let data = Bytes::from(answer.encode_to_vec());
    pull_codec().encode(data, &mut frame)?;
    Ok(frame.freeze())
}
