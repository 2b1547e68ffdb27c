//! Serves pieces of weights and their digests to other agents.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::budget::LinkBudget;
use agatepin_core::relay::catalog::WeightsVersion;
use bytes::Bytes;
use eyre::Result;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};

use crate::loader::cache::PieceCache;
use crate::loader::view::SharedView;
use crate::relay::overlay::{self, PieceQuery, PullAnswer, PullConnection, PullQuery};

/// Maximum number of pieces that are sent to other agents at a time.
const PARALLEL_UPLOADS: usize = 6;
/// Percentage of the link's rate that uploads of pieces may use: events of the engine's streams are
/// sent over the same link and must not queue behind them.
const UPLOAD_LINK_PERCENT: u64 = 88;
/// Bytes of a piece that are written at once, and the burst of the upload's rate limit.
const UPLOAD_CHUNK_BYTES: usize = 4 * 1024;
/// Time for which a pull of a piece that this agent does not have yet waits for the piece.
const MISSING_PIECE_WAIT: Duration = Duration::from_millis(150);
/// Time for which a pull of digests that this agent does not have yet waits for them.
const MISSING_DIGESTS_WAIT: Duration = Duration::from_millis(350);
/// Longest time until the question which pieces this agent has is answered with "none".
pub const READY_WAIT: Duration = Duration::from_millis(500);
/// Timeout of each write, and of the arrival of the next query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which an upload keeps its permit while no query for the next range arrives: a few round
/// trips over a busy link.
const RANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Serves pieces and digests to other agents.
#[derive(Clone)]
pub struct PieceServer {
    cache: PieceCache,
    view: SharedView,
    /// Permits for pieces, of which [`PARALLEL_UPLOADS`] are sent at a time.
    uploads: Rc<Semaphore>,
    /// Rate limit of all uploads together.
    link: Rc<RefCell<LinkBudget>>,
}

impl PieceServer {
    /// A server of the pieces in `cache`, over a link of `link_bytes_per_second`; 0 for a link
    /// without a limit.
    #[must_use]
    pub fn new(cache: PieceCache, view: SharedView, link_bytes_per_second: u64) -> Self {
        let rate = link_bytes_per_second * UPLOAD_LINK_PERCENT / 100;
        let link = LinkBudget::new(rate, UPLOAD_CHUNK_BYTES as u64, Instant::now());
        Self {
            cache,
            view,
            uploads: Rc::new(Semaphore::new(PARALLEL_UPLOADS)),
            link: Rc::new(RefCell::new(link)),
        }
    }

    /// Records the version of a requested piece as announced: an agent that receives no rosters
    /// from entries learns of new versions from the agents that request their pieces from it.
    fn record_announcement(&self, model: &str, version: WeightsVersion) {
        let mut view = self.view.borrow_mut();
        view.record_announcement(model, version, Duration::ZERO, Instant::now());
    }

    /// Waits until the rate limit of uploads permits to send `bytes` more bytes.
    async fn await_budget(&self, bytes: usize) {
        loop {
            let taken = self
                .link
                .borrow_mut()
                .try_take(bytes as u64, Instant::now());
            match taken {
                Ok(()) => return,
                Err(wait) => sleep(wait).await,
            }
        }
    }

    /// Answers the queries of a connection until the other agent closes it, or until one asks for
    /// data that this agent does not have.
    ///
    /// # Errors
    /// The connection fails, a write times out, or a request is malformed.
    pub async fn serve(self, stream: TcpStream) -> Result<()> {
        let buffer = overlay::PULL_BUFFER_BYTES as usize;
        SockRef::from(&stream).set_send_buffer_size(buffer)?;
        stream.set_nodelay(true)?;
        let mut connection = overlay::pull_connection(stream);
        let mut permit = None;
        while let Some(query) = self.next_query(&mut connection, &mut permit).await? {
            let Some(answer) = self.find(&query).await else {
                return overlay::write_answer(&mut connection, &PullAnswer::default()).await;
            };
            if permit.is_none() && !matches!(query, PullQuery::Ready(_)) {
                permit = Some(self.uploads.acquire().await?);
            }
            let frame = overlay::encode_frame(&answer)?;
            let stream = connection.get_mut();
            for chunk in frame.chunks(UPLOAD_CHUNK_BYTES) {
                self.await_budget(chunk.len()).await;
                timeout(QUERY_TIMEOUT, stream.write_all(chunk)).await??;
            }
            if is_last_range(&query, &answer) {
                permit = None;
            }
        }
        Ok(())
    }

    /// The next query of a connection; none if the other agent closed it. The permit of an upload
    /// is returned if the query does not arrive soon.
    async fn next_query(
        &self,
        connection: &mut PullConnection,
        permit: &mut Option<SemaphorePermit<'_>>,
    ) -> Result<Option<PullQuery>> {
        if permit.is_some() {
            match timeout(
                RANGE_TIMEOUT,
                overlay::next_query(connection, QUERY_TIMEOUT),
            )
            .await
            {
                Ok(query) => return query,
                Err(_) => *permit = None,
            }
        }
        overlay::next_query(connection, QUERY_TIMEOUT).await
    }

    /// The answer to a query; none if this agent does not have the data. Agents have no rows of the
    /// store.
    async fn find(&self, query: &PullQuery) -> Option<PullAnswer> {
        let mut answer = PullAnswer {
            found: true,
            ..PullAnswer::default()
        };
        match query {
            PullQuery::Piece(query) => {
                self.record_announcement(&query.model, query.version);
                self.cache.record_wanted(query.version, query.piece);
                let piece = self
                    .cache
                    .wait_for_piece(query.version, query.piece, MISSING_PIECE_WAIT)
                    .await?;
                answer.size = u32::try_from(piece.len()).ok()?;
                answer.data = requested_range(&piece, query);
            }
            PullQuery::Digests(query) => {
                let digests = self
                    .cache
                    .wait_for_digests(query.version, MISSING_DIGESTS_WAIT)
                    .await?;
                answer.data = Bytes::from(digests.digests.concat());
            }
            PullQuery::Ready(query) => {
                self.record_announcement(&query.model, query.version);
                for piece in &query.pieces {
                    self.cache.record_wanted(query.version, *piece);
                }
                let ready = self
                    .cache
                    .wait_for_any(query.version, &query.pieces, READY_WAIT)
                    .await;
                answer.ready = ready.unwrap_or_default();
            }
            PullQuery::Rows(_) => return None,
        }
        Some(answer)
    }
}

/// Whether `answer` completes the transfer that `query` is part of.
fn is_last_range(query: &PullQuery, answer: &PullAnswer) -> bool {
    match query {
        PullQuery::Piece(query) => {
            query.offset as usize + answer.data.len() >= answer.size as usize
        }
        _ => true,
    }
}

/// The bytes of `piece` that `query` asks for.
fn requested_range(piece: &Bytes, query: &PieceQuery) -> Bytes {
    let start = (query.offset as usize).min(piece.len());
    let rest = piece.slice(start..);
    match query.length as usize {
        0 => rest,
        length => rest.slice(..length.min(rest.len())),
    }
}
