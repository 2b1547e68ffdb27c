//! Transfers the pieces of weights versions. [`PieceFetcher`] fetches them for this agent: from its
//! engine's stage (the area that the engine loads weights from), from other agents, and from the
//! origin (the server of all announced weights) if this agent is chosen to fetch a piece from the
//! origin or no other agent has the piece. [`PieceServer`] serves them to other agents.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::budget::LinkBudget;
use agatepin_core::ids::ServiceId;
use agatepin_core::rank;
use agatepin_core::relay::sources::{PieceAgent, PieceSource, SourcePlanner};
use bytes::{Bytes, BytesMut};
use eyre::{Result, bail};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::loader::cache::PieceCache;
use crate::loader::monitor::EngineMonitor;
use crate::loader::stage::StageWriter;
use crate::loader::view::{LoadPlan, SharedView};
use crate::relay::overlay::{self, DigestsQuery, PieceQuery, PullAnswer, PullClient, PullQuery};
use crate::relay::ports::{EnginePort, PieceDigests};

/// Maximum number of pieces that a fetch requests at a time.
const PARALLEL_PIECES: usize = 6;
/// Bytes of a piece that are requested at once. Callers' requests to the engine arrive over the same
/// link and queue behind the ranges in flight, of which there are [`PARALLEL_PIECES`] at most.
const RANGE_BYTES: u32 = 4 * 1024;
/// Maximum number of answers with a piece or with digests that are sent to other agents at a time.
const PARALLEL_UPLOADS: usize = 6;
/// Percentage of the link's rate that uploads of pieces may use: events of the engine's streams are
/// sent over the same link and must not queue behind them.
const UPLOAD_LINK_PERCENT: u64 = 88;
/// Bytes of a piece that are written at once, and the burst of the upload's rate limit.
const UPLOAD_CHUNK_BYTES: usize = 4 * 1024;
/// Time for which a pull of a piece that this agent does not have yet waits for the piece.
const MISSING_PIECE_WAIT: Duration = Duration::from_millis(150);
/// Timeout of the pull of a piece, including the wait at its source and the transfer over a busy
/// link; also of each write of an upload.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time from the start of a fetch in which a piece that its source does not have yet is retried
/// later. After it, the next source is asked at once, in the end the origin: a version must be
/// served everywhere within 8 s.
const PEERS_ONLY_TIME: Duration = Duration::from_secs(5);
/// Number of requests for a piece that its source answers with "not found" before the next agent in
/// the planner's order of sources is asked: with the wait at the source about two seconds. Asking
/// it sooner would send all agents of the region to the importer, the one that fetches the piece
/// from outside the region.
const TRIES_PER_SOURCE: usize = 13;
/// Pause after a fetch that did not get all pieces of its version, before the next fetch.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the fetcher checks whether a version to fetch was announced, and whether the
/// engine responds while the fetch has to wait for it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of the pull of digests from another agent. An agent that is asked for digests that it
/// does not have yet waits half of this time for them.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(700);
/// Number that stands for the digests where sources are ranked by piece; no piece has it.
const DIGESTS_PIECE: u32 = u32::MAX;
/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// A piece that is not cached yet.
#[derive(Clone, Copy)]
struct MissingPiece {
    /// Number of the piece, from 0.
    piece: u32,
    /// Number of requests for the piece that ended with [`FetchOutcome::NotReady`].
    tries: usize,
}

/// Result of one request for a piece.
enum FetchOutcome {
    /// The piece, verified, and where it came from.
    Fetched(Bytes, PieceSource),
    /// The agent that was asked does not have it yet; to be retried.
    NotReady,
    /// All sources failed, or their data did not match the piece's digest.
    NoSource,
}

/// Fetches the announced version for one agent.
#[derive(Clone)]
pub struct PieceFetcher<Engine> {
    /// Client of the engine that this agent loads weights into, and of the origin.
    pub engine: Engine,
    /// Writer to the engine's stage.
    pub writer: StageWriter<Engine>,
    /// Where fetched pieces are cached.
    pub cache: PieceCache,
    /// Source of the version to fetch and of the agents that may have it.
    pub view: SharedView,
    /// Latest state of the engine; pieces are staged only while it responds.
    pub monitor: EngineMonitor,
    /// This agent, whose address and region decide its sources.
    pub own: PieceAgent,
    /// Whether the whole system starts for the first time: engines already hold their weights and
    /// have them staged, so nothing is fetched before the engine responds.
    pub first_start: bool,
}

impl<Engine> PieceFetcher<Engine>
where
    Engine: EnginePort,
{
    /// Fetches each announced version of the model of `service`, until the task is dropped.
    pub async fn run(self, service: ServiceId) {
        loop {
            let plan = self.view.borrow().plan(&service);
            let Some(plan) = plan.filter(|plan| !self.cache.is_complete(plan.version)) else {
                sleep(POLL_INTERVAL).await;
                continue;
            };
            if self.monitor.state().is_none() && (self.first_start || !self.is_held_by_peer(&plan))
            {
                // Wait for the engine: it may have the version staged already.
                sleep(POLL_INTERVAL).await;
                continue;
            }
            let newer = async {
                while !self.is_outdated(&service, &plan) || self.is_half_fetched(&plan) {
                    sleep(POLL_INTERVAL).await;
                }
            };
            tokio::select! {
                () = self.fetch(&plan) => {}
                // A newer version was announced before half of the pieces were cached.
                () = newer => log::info!(version = plan.version; "fetch superseded"),
            }
            self.cache.evict_old_versions();
            if !self.cache.is_complete(plan.version) {
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Whether a newer version was announced.
    fn is_outdated(&self, service: &ServiceId, plan: &LoadPlan) -> bool {
        let view = self.view.borrow();
        view.plan(service)
            .is_some_and(|now| now.version > plan.version)
    }

    /// Whether half of the pieces are cached. Then the fetch is completed even if a newer version
    /// was announced: this version is ready sooner, and must serve until the newer one does.
    fn is_half_fetched(&self, plan: &LoadPlan) -> bool {
        let cached = self.cache.with(plan.version, |pieces| pieces.pieces.len());
        2 * cached >= plan.engine.pieces as usize
    }

    /// Whether another agent has all pieces of the version.
    fn is_held_by_peer(&self, plan: &LoadPlan) -> bool {
        let agents = self.view.borrow_mut().agents(Instant::now());
        agents.iter().any(|agent| agent.holds == Some(plan.version))
    }

    /// Fetches the digests of a version and then its missing pieces.
    async fn fetch(&self, plan: &LoadPlan) {
        let started = Instant::now();
        if !self.fetch_digests(plan).await {
            return;
        }
        self.reuse_staged(plan).await;
        let missing = self.missing(plan);
        let total = missing.len();
        let mut unrequested = missing;
        let mut running = FuturesUnordered::new();
        let mut from_origin = 0;
        let mut origin_ms = 0;
        loop {
            while running.len() < PARALLEL_PIECES
                && let Some(piece) = self.next_piece(plan, &mut unrequested)
            {
                running.push(self.fetch_piece(plan, piece, started));
            }
            let Some((missing, outcome)) = running.next().await else {
                break;
            };
            let piece = missing.piece;
            match outcome {
                FetchOutcome::Fetched(data, source) => {
                    if source == PieceSource::Origin {
                        from_origin += 1;
                        origin_ms = started.elapsed().as_millis();
                    }
                    self.prestage(plan, piece, data.clone()).await;
                    self.cache
                        .with(plan.version, |pieces| pieces.pieces.insert(piece, data));
                }
                FetchOutcome::NotReady => unrequested.push(MissingPiece {
                    piece,
                    tries: missing.tries + 1,
                }),
                FetchOutcome::NoSource => {
                    log::warn!(version = plan.version, piece; "no source has the piece");
                }
            }
        }
        // Logged at the end of each fetch, also if `complete` is false. `total` counts the pieces
        // that were neither cached nor staged at its start, `from_origin` those fetched from the
        // origin; `origin_ms` is the time from the start to the last of these (0 for none), `ms`
        // the duration of the fetch.
        let complete = self.cache.is_complete(plan.version);
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let version = plan.version;
        let origin_ms = u64::try_from(origin_ms).unwrap_or(u64::MAX);
        log::info!(version, total, from_origin, origin_ms, complete, ms; "pieces fetched");
    }

    /// Pieces of the version that are not cached, in the order in which this agent requests them.
    fn missing(&self, plan: &LoadPlan) -> Vec<MissingPiece> {
        let own = rank::seed(self.own.overlay.to_string().as_bytes());
        let mut missing: Vec<u32> = self.cache.with(plan.version, |pieces| {
            let all = 0..plan.engine.pieces;
            all.filter(|piece| !pieces.pieces.contains_key(piece))
                .collect()
        });
        // Each agent requests the pieces in an order of its own, so that agents do not all request
        // the same piece from the same source at once.
        missing.sort_by_cached_key(|piece| rank::score_seeds(own, u64::from(*piece)));
        let pieces = missing.into_iter();
        pieces
            .map(|piece| MissingPiece { piece, tries: 0 })
            .collect()
    }

    /// Removes from `unrequested` the piece to request next: one that another agent requested from
    /// this agent, else one that this agent fetches from the origin or imports into its region for
    /// others, else the first.
    fn next_piece(
        &self,
        plan: &LoadPlan,
        unrequested: &mut Vec<MissingPiece>,
    ) -> Option<MissingPiece> {
        let planner = self.planner(plan);
        let wanted = self.cache.wanted(plan.version);
        let indexed = unrequested.iter().enumerate();
        let (index, _) = indexed.min_by_key(|(index, missing)| {
            let piece = missing.piece;
            (!wanted.contains(&piece), planner.role(piece), *index)
        })?;
        Some(unrequested.remove(index))
    }

    /// A planner that ranks the sources of each piece among the agents in the view.
    fn planner(&self, plan: &LoadPlan) -> SourcePlanner {
        let agents = self.view.borrow_mut().agents(Instant::now());
        SourcePlanner::new(&agents, &self.own, plan.version)
    }

    /// Caches the pieces of the version that the engine's stage already has.
    async fn reuse_staged(&self, plan: &LoadPlan) {
        for piece in 0..plan.engine.pieces {
            let staged = match self.engine.staged(&plan.model, piece).await {
                Ok(Some(staged)) => staged,
                Ok(None) => continue,
                Err(err) => return log::warn!(piece, err:?; "cannot read the engine's stage"),
            };
            self.cache.with(plan.version, |pieces| {
                if pieces.matches_digest(piece, &staged) {
                    pieces.pieces.insert(piece, staged);
                }
            });
        }
    }

    /// Stages a piece as soon as it is fetched, so that it survives a restart of this agent.
    async fn prestage(&self, plan: &LoadPlan, piece: u32, data: Bytes) {
        if self.monitor.state().is_none() {
            return;
        }
        if let Err(err) = self.writer.prestage(&plan.model, piece, data).await {
            log::info!(piece, err:?; "cannot stage a piece ahead of its load");
        }
    }

    /// Fetches the digests of the version unless they are cached. Returns whether they are cached.
    async fn fetch_digests(&self, plan: &LoadPlan) -> bool {
        if self
            .cache
            .with(plan.version, |pieces| pieces.digests.is_some())
        {
            return true;
        }
        for source in self.planner(plan).sources(DIGESTS_PIECE) {
            let digests = match &source {
                PieceSource::Agent(peer) => self.pull_digests(*peer, plan).await,
                PieceSource::Origin => self.origin_digests(plan).await,
            };
            let Some(digests) = digests else {
                continue;
            };
            if digests.digests.len() != plan.engine.pieces as usize {
                log::warn!(source:?, pieces = digests.digests.len(); "wrong number of digests");
                continue;
            }
            self.cache
                .with(plan.version, |pieces| pieces.digests = Some(digests));
            return true;
        }
        false
    }

    async fn pull_digests(&self, peer: SocketAddr, plan: &LoadPlan) -> Option<PieceDigests> {
        let query = PullQuery::Digests(DigestsQuery {
            model: plan.model.clone(),
            version: plan.version,
        });
        let answer = match overlay::pull(peer, query, DIGESTS_TIMEOUT).await {
            Ok(answer) if answer.found => answer,
            Ok(_) => return None,
            Err(err) => {
                log::info!(peer:%, err:%; "cannot pull digests");
                return None;
            }
        };
        let chunks = answer.data.chunks_exact(DIGEST_BYTES);
        let digests = chunks.filter_map(|chunk| chunk.try_into().ok()).collect();
        Some(PieceDigests { digests })
    }

    async fn origin_digests(&self, plan: &LoadPlan) -> Option<PieceDigests> {
        let origin = plan.origin?;
        match self.engine.digests(origin, &plan.model, plan.version).await {
            Ok(digests) => Some(digests),
            Err(err) => {
                log::warn!(version = plan.version, err:?; "cannot fetch digests from the origin");
                None
            }
        }
    }

    /// Requests a piece from its sources, one after the other, until one provides it.
    /// `fetch_started` is the start of the fetch of the version.
    async fn fetch_piece(
        &self,
        plan: &LoadPlan,
        missing: MissingPiece,
        fetch_started: Instant,
    ) -> (MissingPiece, FetchOutcome) {
        let piece = missing.piece;
        let sources = self.planner(plan).sources(piece);
        // At least one agent is asked before the origin, which is the last source.
        let skipped = (missing.tries / TRIES_PER_SOURCE).min(sources.len().saturating_sub(2));
        for source in sources.into_iter().skip(skipped) {
            let data = match &source {
                PieceSource::Agent(peer) => match self.pull_piece(*peer, plan, piece).await {
                    Ok(Some(data)) => data,
                    Ok(None) if fetch_started.elapsed() < PEERS_ONLY_TIME => {
                        return (missing, FetchOutcome::NotReady);
                    }
                    Ok(None) => continue,
                    Err(err) => {
                        log::info!(peer:%, piece, err:%; "cannot pull a piece");
                        self.view.borrow_mut().remove_agent(*peer);
                        continue;
                    }
                },
                PieceSource::Origin => match self.origin_piece(plan, piece).await {
                    Some(data) => data,
                    None => continue,
                },
            };
            if self
                .cache
                .with(plan.version, |pieces| pieces.matches_digest(piece, &data))
            {
                return (missing, FetchOutcome::Fetched(data, source));
            }
            log::warn!(piece, version = plan.version, source:?; "piece does not match its digest");
            if source == PieceSource::Origin {
                // Either the piece or its digest is wrong. While no piece has matched, the digests
                // are fetched again with the next attempt.
                self.cache.with(plan.version, |pieces| {
                    if pieces.pieces.is_empty() {
                        pieces.digests = None;
                    }
                });
            }
        }
        (missing, FetchOutcome::NoSource)
    }

    async fn pull_piece(
        &self,
        peer: SocketAddr,
        plan: &LoadPlan,
        piece: u32,
    ) -> Result<Option<Bytes>> {
        timeout(PULL_TIMEOUT, pull_ranges(peer, plan, piece)).await?
    }

    async fn origin_piece(&self, plan: &LoadPlan, piece: u32) -> Option<Bytes> {
        let origin = plan.origin?;
        let (model, version) = (&plan.model, plan.version);
        match self.engine.piece(origin, model, version, piece).await {
            Ok(data) => Some(data),
            Err(err) => {
                log::warn!(piece, version, err:?; "cannot fetch a piece from the origin");
                None
            }
        }
    }
}

/// Pulls a piece from another agent, range by range. Returns none if that agent does not have the
/// piece.
async fn pull_ranges(peer: SocketAddr, plan: &LoadPlan, piece: u32) -> Result<Option<Bytes>> {
    let mut client = PullClient::connect(peer).await?;
    let mut data = BytesMut::new();
    loop {
        let query = PieceQuery {
            model: plan.model.clone(),
            version: plan.version,
            piece,
            offset: u32::try_from(data.len())?,
            length: RANGE_BYTES,
        };
        let answer = client.ask(PullQuery::Piece(query)).await?;
        if !answer.found {
            return Ok(None);
        }
        data.extend_from_slice(&answer.data);
        if data.len() >= answer.size as usize {
            return Ok(Some(data.freeze()));
        }
        if answer.data.is_empty() {
            bail!("empty range of a piece");
        }
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

/// Serves pieces and digests to other agents.
#[derive(Clone)]
pub struct PieceServer {
    cache: PieceCache,
    view: SharedView,
    /// Permits for answers with data, of which [`PARALLEL_UPLOADS`] are sent at a time.
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
    fn record_announcement(&self, query: &PieceQuery) {
        let mut view = self.view.borrow_mut();
        let now = Instant::now();
        view.record_announcement(&query.model, query.version, Duration::ZERO, now);
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
        let mut upload = None;
        while let Some(query) = overlay::next_query(&mut connection, PULL_TIMEOUT).await? {
            let Some(answer) = self.find(query).await else {
                return overlay::write_answer(&mut connection, &PullAnswer::default()).await;
            };
            if upload.is_none() {
                upload = Some(self.uploads.acquire().await?);
            }
            let frame = overlay::encode_frame(&answer)?;
            let stream = connection.get_mut();
            for chunk in frame.chunks(UPLOAD_CHUNK_BYTES) {
                self.await_budget(chunk.len()).await;
                timeout(PULL_TIMEOUT, stream.write_all(chunk)).await??;
            }
        }
        Ok(())
    }

    /// The answer to a query; none if this agent does not have the data. Agents have no rows of the
    /// store.
    async fn find(&self, query: PullQuery) -> Option<PullAnswer> {
        let (data, size) = match query {
            PullQuery::Piece(query) => {
                self.record_announcement(&query);
                self.cache.record_wanted(query.version, query.piece);
                let piece = self
                    .cache
                    .wait_for_piece(query.version, query.piece, MISSING_PIECE_WAIT)
                    .await?;
                let size = u32::try_from(piece.len()).ok()?;
                (requested_range(&piece, &query), size)
            }
            PullQuery::Digests(query) => {
                let digests = self
                    .cache
                    .wait_for_digests(query.version, DIGESTS_TIMEOUT / 2)
                    .await?;
                (Bytes::from(digests.digests.concat()), 0)
            }
            PullQuery::Rows(_) => return None,
        };
        Some(PullAnswer {
            found: true,
            data,
            size,
            ..PullAnswer::default()
        })
    }
}
