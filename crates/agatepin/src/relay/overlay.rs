//! Pulls between daemons: rows and pieces over TCP, one pull a connection, in frames with a length
//! before them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use eyre::{Result, eyre};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Encoder, Framed, LengthDelimitedCodec};

use crate::relay::ports::{MirrorTable, RowVersion, TableRead, TableRow};
use crate::relay::table_copy::RowsCopy;

/// Longest frame, in bytes: above all rows of a large fleet.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Time for a connection to another daemon: one lost packet and the longest way.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Buffers of a connection for pulls: enough to fill a machine's link, and so small that what
/// else uses the link does not wait long behind it.
pub const PULL_BUFFER_BYTES: u32 = 16 * 1024;
/// Time for a pull of rows.
const ROWS_TIMEOUT: Duration = Duration::from_millis(800);

/// What one daemon pulls from another.
#[derive(Clone, PartialEq, Message)]
pub struct PullRequest {
    /// What is pulled.
    #[prost(oneof = "PullQuery", tags = "1, 2, 3")]
    pub wish: Option<PullQuery>,
}

/// What is pulled.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PullQuery {
    /// Rows of a table.
    #[prost(message, tag = "1")]
    Rows(RowsQuery),
    /// A piece of weights.
    #[prost(message, tag = "2")]
    Piece(PieceQuery),
    /// Digests of the pieces.
    #[prost(message, tag = "3")]
    Digests(DigestsQuery),
}

/// Rows of a table that are newer than a version.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RowsQuery {
    /// Number of the table.
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// Version that is known.
    #[prost(uint64, tag = "2")]
    pub after: u64,
}

/// A piece of weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PieceQuery {
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
pub struct DigestsQuery {
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
    /// The rows are those that changed since the version that was asked with.
    #[prost(bool, tag = "6")]
    pub changes_only: bool,
    /// Rows may be missing only because the store was away.
    #[prost(bool, tag = "7")]
    pub lapses: bool,
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
    /// The row was removed.
    #[prost(bool, tag = "4")]
    pub removed: bool,
}

impl From<RowsCopy> for PullAnswer {
    fn from(copy: RowsCopy) -> Self {
        let rows = copy.read.rows.into_iter();
        let rows = rows.map(|row| WireRow {
            key: row.key,
            version: row.version,
            removed: row.value.is_none(),
            value: row.value.unwrap_or_default(),
        });
        Self {
            found: true,
            data: Bytes::new(),
            rows: rows.collect(),
            version: copy.read.version,
            time_ms: u64::try_from(copy.read.time.as_millis()).unwrap_or(u64::MAX),
            changes_only: copy.changes_only,
            lapses: copy.lapses,
        }
    }
}

impl From<PullAnswer> for RowsCopy {
    fn from(answer: PullAnswer) -> Self {
        let rows = answer.rows.into_iter();
        let rows = rows.map(|row| TableRow {
            key: row.key,
            version: row.version,
            value: (!row.removed).then_some(row.value),
        });
        Self {
            read: TableRead {
                rows: rows.collect(),
                version: answer.version,
                time: Duration::from_millis(answer.time_ms),
            },
            changes_only: answer.changes_only,
            lapses: answer.lapses,
        }
    }
}

/// A connection for pulls, in frames.
pub type PullConnection = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames for `stream`.
#[must_use]
pub fn pull_connection(stream: TcpStream) -> PullConnection {
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
pub async fn pull(peer: SocketAddr, wish: PullQuery, total: Duration) -> Result<PullAnswer> {
    let exchange = async {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(PULL_BUFFER_BYTES)?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(peer)).await??;
        let mut connection = pull_connection(stream);
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
) -> Option<RowsCopy> {
    let wish = RowsQuery {
        table: table.number(),
        after,
    };
    match pull(peer, PullQuery::Rows(wish), ROWS_TIMEOUT).await {
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
pub async fn read_query(connection: &mut PullConnection) -> Result<PullQuery> {
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
pub fn encode_frame(answer: &PullAnswer) -> Result<Bytes> {
    let mut frame = BytesMut::new();
    let data = Bytes::from(answer.encode_to_vec());
    pull_codec().encode(data, &mut frame)?;
    Ok(frame.freeze())
}
