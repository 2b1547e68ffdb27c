//! Brings the pieces of one version to an agent: from its engine's stage, from other agents, and
//! from the origin for those that this agent is to fetch.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::budget::LinkBudget;
use agatepin_core::ids::ServiceId;
use agatepin_core::rank;
use agatepin_core::relay::sources::{PieceAgent, PieceSource, SourcePlanner};
use bytes::Bytes;
use eyre::Result;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::loader::beat::EngineBeat;
use crate::loader::stage::StageDesk;
use crate::loader::vault::PieceVault;
use crate::loader::view::{LoadPlan, SharedView};
use crate::relay::overlay::{self, DigestsQuery, PieceQuery, PullAnswer, PullQuery};
use crate::relay::ports::{EnginePort, PieceDigests};

/// Pieces that are asked for at a time. Requests to the engine come over the same link, and wait
/// behind them.
const PARALLEL_PIECES: usize = 6;
/// Pieces that are given away at a time.
const PARALLEL_UPLOADS: usize = 6;
/// Part of the machine's link that pieces may take, in hundredths: events of the engine's streams
/// use the same link, and must not wait behind them.
const LINK_PART: u64 = 88;
/// Bytes of a piece that are sent at once.
const UPLOAD_CHUNK_BYTES: usize = 4 * 1024;
/// Time for which an agent that is asked waits until it has a piece itself.
const HOLD: Duration = Duration::from_millis(150);
/// Time for a pull of a piece, with the wait at its source and the way on a busy link.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which other agents are waited for before the next source is asked: a version has 8 s
/// to be served everywhere.
const AGENTS_TIME: Duration = Duration::from_secs(5);
/// Times that a source is asked for a piece that it does not have yet before the one above it is:
/// two seconds, as asking sooner would bring all takers to the importer.
const TRIES_A_SOURCE: usize = 13;
/// Pause after a round that left pieces out.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks at the named version.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Wait for digests at another agent before the origin is asked.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(700);
/// Number that stands for the digests where sources are ranked.
const DIGESTS_PIECE: u32 = u32::MAX;
const DIGEST_BYTES: usize = 32;

/// A piece that is still to come.
#[derive(Clone, Copy)]
struct MissingPiece {
    piece: u32,
    /// Times that a source did not have it yet.
    tries: usize,
}

/// What became of a piece that was asked for.
enum PieceFound {
    /// It is here.
    Data(Bytes, PieceSource),
    /// Its source does not have it yet.
    NotYet,
    /// No source gave it.
    Nowhere,
}

/// Fetches pieces for one agent.
#[derive(Clone)]
pub struct PieceFetcher<Engine> {
    /// The engine, and the origin.
    pub engine: Engine,
    /// The engine's stage, for writing.
    pub stage: StageDesk<Engine>,
    /// Where pieces are kept.
    pub vault: PieceVault,
    /// The fleet.
    pub view: SharedView,
    /// State of the engine.
    pub beat: EngineBeat,
    /// This agent.
    pub own: PieceAgent,
    /// The whole system starts for the first time; engines hold and have staged their weights.
    pub first_start: bool,
}

impl<Engine> PieceFetcher<Engine>
where
    Engine: EnginePort,
{
    /// Keeps the pieces of the named version here for good.
    pub async fn run(self, service: ServiceId) {
        loop {
            let plan = self.view.borrow().plan(&service);
            let Some(plan) = plan.filter(|plan| !self.vault.is_complete(plan.version)) else {
                sleep(LOOK_INTERVAL).await;
                continue;
            };
            if self.beat.state().is_none() && (self.first_start || !self.is_held(&plan)) {
                // Its engine may have it staged.
                sleep(LOOK_INTERVAL).await;
                continue;
            }
            let newer = async {
                while !self.is_outdated(&service, &plan) || self.is_half_here(&plan) {
                    sleep(LOOK_INTERVAL).await;
                }
            };
            tokio::select! {
                () = self.fetch(&plan) => {}
                () = newer => log::info!(version = plan.version; "a newer version was named"),
            }
            self.vault.trim();
            if !self.vault.is_complete(plan.version) {
                sleep(ROUND_PAUSE).await;
            }
        }
    }

    fn is_outdated(&self, service: &ServiceId, plan: &LoadPlan) -> bool {
        let view = self.view.borrow();
        view.plan(service)
            .is_some_and(|now| now.version > plan.version)
    }

    /// Whether half of the pieces are here: then the version is brought in whole, though a newer
    /// one was named, as it comes sooner and must serve until the newer one does.
    fn is_half_here(&self, plan: &LoadPlan) -> bool {
        let here = self.vault.with(plan.version, |set| set.pieces.len());
        2 * here >= plan.engine.pieces as usize
    }

    /// Whether another agent holds the version.
    fn is_held(&self, plan: &LoadPlan) -> bool {
        let agents = self.view.borrow_mut().agents(Instant::now());
        agents.iter().any(|agent| agent.holds == Some(plan.version))
    }

    /// Brings in what is missing of a version.
    async fn fetch(&self, plan: &LoadPlan) {
        let started = Instant::now();
        if !self.fetch_digests(plan).await {
            return;
        }
        self.take_staged(plan).await;
        let missing = self.missing(plan);
        let total = missing.len();
        let mut waiting = missing;
        let mut running = FuturesUnordered::new();
        let mut from_origin = 0;
        let mut origin_ms = 0;
        loop {
            while running.len() < PARALLEL_PIECES
                && let Some(piece) = self.next_piece(plan, &mut waiting)
            {
                running.push(self.fetch_piece(plan, piece, started));
            }
            let Some((missing, found)) = running.next().await else {
                break;
            };
            let piece = missing.piece;
            match found {
                PieceFound::Data(data, source) => {
                    if source == PieceSource::Origin {
                        from_origin += 1;
                        origin_ms = started.elapsed().as_millis();
                    }
                    self.stage_early(plan, piece, data.clone()).await;
                    self.vault
                        .with(plan.version, |set| set.pieces.insert(piece, data));
                }
                PieceFound::NotYet => waiting.push(MissingPiece {
                    piece,
                    tries: missing.tries + 1,
                }),
                PieceFound::Nowhere => {
                    log::warn!(version = plan.version, piece; "no source has this piece");
                }
            }
        }
        let complete = self.vault.is_complete(plan.version);
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let version = plan.version;
        let origin_ms = u64::try_from(origin_ms).unwrap_or(u64::MAX);
        log::info!(version, total, from_origin, origin_ms, complete, ms; "pieces fetched");
    }

    fn missing(&self, plan: &LoadPlan) -> Vec<MissingPiece> {
        let own = rank::seed(self.own.overlay.to_string().as_bytes());
        let mut missing: Vec<u32> = self.vault.with(plan.version, |set| {
            let all = 0..plan.engine.pieces;
            all.filter(|piece| !set.pieces.contains_key(piece))
                .collect()
        });
        // An order of this agent's own, so that not all ask the same source at once.
        missing.sort_by_cached_key(|piece| rank::score_seeds(own, u64::from(*piece)));
        let pieces = missing.into_iter();
        pieces
            .map(|piece| MissingPiece { piece, tries: 0 })
            .collect()
    }

    /// Takes the piece to ask for next: one that another agent asked this one for, else one that
    /// this agent is to bring in for others, else the first.
    fn next_piece(&self, plan: &LoadPlan, waiting: &mut Vec<MissingPiece>) -> Option<MissingPiece> {
        let planner = self.planner(plan);
        let wanted = self.vault.wanted(plan.version);
        let places = waiting.iter().enumerate();
        let (place, _) = places.min_by_key(|(place, missing)| {
            let piece = missing.piece;
            (!wanted.contains(&piece), planner.role(piece), *place)
        })?;
        Some(waiting.remove(place))
    }

    fn planner(&self, plan: &LoadPlan) -> SourcePlanner {
        let agents = self.view.borrow_mut().agents(Instant::now());
        SourcePlanner::new(&agents, &self.own, plan.version)
    }

    /// Takes what the engine's stage holds of the version, so that it need not be fetched.
    async fn take_staged(&self, plan: &LoadPlan) {
        for piece in 0..plan.engine.pieces {
            let staged = match self.engine.staged(&plan.model, piece).await {
                Ok(Some(staged)) => staged,
                Ok(None) => continue,
                Err(err) => return log::warn!(piece, err:?; "stage cannot be read"),
            };
            self.vault.with(plan.version, |set| {
                if set.matches(piece, &staged) {
                    set.pieces.insert(piece, staged);
                }
            });
        }
    }

    /// Stages a piece as soon as it is here, so that it outlives this process.
    async fn stage_early(&self, plan: &LoadPlan, piece: u32, data: Bytes) {
        if self.beat.state().is_none() {
            return;
        }
        if let Err(err) = self.stage.stage_early(&plan.model, piece, data).await {
            log::info!(piece, err:?; "piece not staged yet");
        }
    }

    async fn fetch_digests(&self, plan: &LoadPlan) -> bool {
        if self.vault.with(plan.version, |set| set.digests.is_some()) {
            return true;
        }
        for source in self.planner(plan).sources(DIGESTS_PIECE) {
            let found = match &source {
                PieceSource::Agent(peer) => self.pull_digests(*peer, plan).await,
                PieceSource::Origin => self.origin_digests(plan).await,
            };
            let Some(digests) = found else {
                continue;
            };
            if digests.digests.len() != plan.engine.pieces as usize {
                log::warn!(source:?, pieces = digests.digests.len(); "digests do not fit the model");
                continue;
            }
            self.vault
                .with(plan.version, |set| set.digests = Some(digests));
            return true;
        }
        false
    }

    async fn pull_digests(&self, peer: SocketAddr, plan: &LoadPlan) -> Option<PieceDigests> {
        let wish = PullQuery::Digests(DigestsQuery {
            model: plan.model.clone(),
            version: plan.version,
        });
        let answer = match overlay::pull(peer, wish, DIGESTS_TIMEOUT).await {
            Ok(answer) if answer.found => answer,
            Ok(_) => return None,
            Err(err) => {
                log::info!(peer:%, err:%; "digests not pulled");
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
                log::warn!(version = plan.version, err:?; "no digests from the origin");
                None
            }
        }
    }

    async fn fetch_piece(
        &self,
        plan: &LoadPlan,
        missing: MissingPiece,
        since: Instant,
    ) -> (MissingPiece, PieceFound) {
        let piece = missing.piece;
        let found = self.planner(plan).sources(piece);
        // The origin is the last of them.
        let passed_over = (missing.tries / TRIES_A_SOURCE).min(found.len().saturating_sub(2));
        for source in found.into_iter().skip(passed_over) {
            let data = match &source {
                PieceSource::Agent(peer) => match self.pull_piece(*peer, plan, piece).await {
                    Ok(Some(data)) => data,
                    Ok(None) if since.elapsed() < AGENTS_TIME => {
                        return (missing, PieceFound::NotYet);
                    }
                    Ok(None) => continue,
                    Err(err) => {
                        log::info!(peer:%, piece, err:%; "piece not pulled");
                        self.view.borrow_mut().forget(*peer);
                        continue;
                    }
                },
                PieceSource::Origin => match self.origin_piece(plan, piece).await {
                    Some(data) => data,
                    None => continue,
                },
            };
            if self
                .vault
                .with(plan.version, |set| set.matches(piece, &data))
            {
                return (missing, PieceFound::Data(data, source));
            }
            log::warn!(piece, version = plan.version, source:?; "piece does not match its digest");
            if source == PieceSource::Origin {
                // One of the two is wrong; both are read again on the next try.
                self.vault.with(plan.version, |set| {
                    if set.pieces.is_empty() {
                        set.digests = None;
                    }
                });
            }
        }
        (missing, PieceFound::Nowhere)
    }

    async fn pull_piece(
        &self,
        peer: SocketAddr,
        plan: &LoadPlan,
        piece: u32,
    ) -> Result<Option<Bytes>> {
        let wish = PullQuery::Piece(PieceQuery {
            model: plan.model.clone(),
            version: plan.version,
            piece,
        });
        let answer = overlay::pull(peer, wish, PULL_TIMEOUT).await?;
        Ok(answer.found.then_some(answer.data))
    }

    async fn origin_piece(&self, plan: &LoadPlan, piece: u32) -> Option<Bytes> {
        let origin = plan.origin?;
        let (model, version) = (&plan.model, plan.version);
        match self.engine.piece(origin, model, version, piece).await {
            Ok(data) => Some(data),
            Err(err) => {
                log::warn!(piece, version, err:?; "no piece from the origin");
                None
            }
        }
    }
}

/// Gives pieces to other agents.
#[derive(Clone)]
pub struct PieceGiver {
    vault: PieceVault,
    view: SharedView,
    uploads: Rc<Semaphore>,
    link: Rc<RefCell<LinkBudget>>,
}

impl PieceGiver {
    /// A giver of what is in `vault`, over a link of so many bytes a second.
    #[must_use]
    pub fn new(vault: PieceVault, view: SharedView, link_bytes_per_second: u64) -> Self {
        let rate = link_bytes_per_second * LINK_PART / 100;
        let link = LinkBudget::new(rate, UPLOAD_CHUNK_BYTES as u64, Instant::now());
        Self {
            vault,
            view,
            uploads: Rc::new(Semaphore::new(PARALLEL_UPLOADS)),
            link: Rc::new(RefCell::new(link)),
        }
    }

    /// An agent that no entry reaches hears of new weights from those that want them of it.
    fn hear_of(&self, wish: &PieceQuery) {
        let mut view = self.view.borrow_mut();
        let now = Instant::now();
        view.name_weights(&wish.model, wish.version, Duration::ZERO, now);
    }

    /// Waits until the link has room for `bytes`.
    async fn pace(&self, bytes: usize) {
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

    /// Answers one pull.
    ///
    /// # Errors
    /// The connection breaks or carries something else.
    pub async fn serve(self, stream: TcpStream) -> Result<()> {
        let buffer = overlay::PULL_BUFFER_BYTES as usize;
        SockRef::from(&stream).set_send_buffer_size(buffer)?;
        let mut connection = overlay::pull_connection(stream);
        let data = match overlay::read_query(&mut connection).await? {
            PullQuery::Piece(wish) => {
                self.hear_of(&wish);
                self.vault.want(wish.version, wish.piece);
                self.vault.piece(wish.version, wish.piece, HOLD).await
            }
            PullQuery::Digests(wish) => {
                let digests = self.vault.digests(wish.version, DIGESTS_TIMEOUT / 2).await;
                digests.map(|digests| Bytes::from(digests.digests.concat()))
            }
            PullQuery::Rows(_) => None,
        };
        let Some(data) = data else {
            return overlay::write_answer(&mut connection, &PullAnswer::default()).await;
        };
        let answer = PullAnswer {
            found: true,
            data,
            ..PullAnswer::default()
        };
        let _upload = self.uploads.acquire().await?;
        let frame = overlay::encode_frame(&answer)?;
        let stream = connection.get_mut();
        for chunk in frame.chunks(UPLOAD_CHUNK_BYTES) {
            self.pace(chunk.len()).await;
            timeout(PULL_TIMEOUT, stream.write_all(chunk)).await??;
        }
        Ok(())
    }
}
