//! Fetches the pieces of weights versions: from the engine's stage (the area that the engine loads
//! weights from), from other agents, and from the origin (the server of all announced weights) if it
//! is this agent's turn there.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::ServiceId;
use agatepin_core::rank;
use agatepin_core::relay::catalog::WeightsVersion;
use agatepin_core::relay::fetch_choice::{TransferTimes, VersionProgress, versions_to_fetch};
use agatepin_core::relay::piece_fetch::PieceFetch;
use agatepin_core::relay::sources::{PieceAgent, PieceSource, SourceLimits, SourcePlanner};
use bytes::{Bytes, BytesMut};
use eyre::{Result, bail, eyre};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use crate::loader::cache::PieceCache;
use crate::loader::monitor::EngineMonitor;
use crate::loader::stage::StageWriter;
use crate::loader::view::{LoadPlan, SharedView};
use crate::loader::watch::{PeerWatches, WatchEvent};
use crate::relay::overlay::{self, DigestsQuery, PieceQuery, PullClient, PullQuery};
use crate::relay::ports::{EnginePort, PieceDigests, StoreError};

/// Maximum number of pieces that a fetch requests at a time. More would not fill the link better,
/// but each would take longer, and other agents wait for it.
const PARALLEL_PIECES: usize = 4;
/// The same for all fetches of an agent together.
const PARALLEL_PIECES_IN_ALL: usize = 6;
/// Bytes of a piece that are requested at once. Callers' requests to the engine arrive over the same
/// link and queue behind the ranges in flight, of which there are [`PARALLEL_PIECES_IN_ALL`] at most.
const RANGE_BYTES: u32 = 4 * 1024;
/// Timeout of the pull of a piece, including the wait at its source and the transfer over a busy
/// link.
const PULL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which a connection to another agent is kept for the next piece; shorter than the time
/// after which that agent closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a fetch that ended without all pieces of its version, before the next fetch.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the fetcher checks whether a version to fetch was announced, and whether the
/// engine responds while the fetch has to wait for it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time of the transfer of a version over this agent's link where the sizes of pieces or the link's
/// rate are not known.
const DEFAULT_LINK_TIME: Duration = Duration::from_millis(2_500);
/// Interval at which a fetch checks for pieces that it may now request from other sources.
const FETCH_TICK: Duration = Duration::from_millis(50);
/// Interval at which a fetch checks whether the known agents have changed.
const AGENTS_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for the digests of a version that may be staged at the agent's start: an agent that knows
/// no other one asks the origin only after up to 3 s, and a request there may take 3 s and be repeated.
const DIGESTS_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for the pieces of that version which are corrupt in the stage.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of times that a piece may differ from its digest before the digests are fetched again:
/// either may be wrong.
const MAX_MISMATCHES: u32 = 3;
/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Outcome of a request for a piece or for the digests.
enum FetchOutcome {
    /// It arrived, matches its digest, and is cached.
    Fetched,
    /// The source could not be reached.
    Lost,
    /// The source failed, or does not have the piece.
    Failed,
    /// The piece differs from its digest.
    Corrupt,
}

/// State of a fetch under way, for the decision whether it goes on.
#[derive(Clone, Copy, Debug)]
pub struct FetchStatus {
    /// Missing pieces that other agents are known to have.
    at_peers: u32,
    /// Whether the pieces that no other agent is known to have do not arrive at present.
    stalled: bool,
    /// Whether the fetch is to go on.
    chosen: bool,
}

/// Duration of a fetch of `fetched` pieces.
#[derive(Clone, Copy, Debug)]
struct MeasuredFetch {
    fetched: u32,
    elapsed: Duration,
}

/// Counts a request for a piece as in flight until it is dropped.
struct FetchSlot(Rc<Cell<usize>>);

impl FetchSlot {
    fn take(in_flight: &Rc<Cell<usize>>) -> Self {
        in_flight.set(in_flight.get() + 1);
        Self(in_flight.clone())
    }
}

impl Drop for FetchSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Open connections to other agents that no pull uses, with the time of their last use.
type IdleClients = RefCell<BTreeMap<SocketAddr, (PullClient, Instant)>>;

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
    /// Maximum number of agents of the fleet that request pieces from the origin.
    pub origin_fetchers: usize,
    /// Maximum rate of the machine's network link, in bytes a second; 0 for no limit.
    pub link_bytes_per_second: u64,
    /// Number of pieces that are being requested, by all fetches of this agent.
    pub in_flight: Rc<Cell<usize>>,
    /// Those of them that are being requested from the origin.
    pub at_origin: Rc<Cell<usize>>,
    /// Fetches under way, by version.
    pub fetches: Rc<RefCell<BTreeMap<WeightsVersion, FetchStatus>>>,
}

impl<Engine> PieceFetcher<Engine>
where
    Engine: EnginePort,
{
    /// Fetches announced versions of the model of `service`, until the task is dropped: the newest, and
    /// an older one for as long as [`versions_to_fetch`] says.
    pub async fn run(self, service: ServiceId) {
        let mut running = FuturesUnordered::new();
        let mut measured = None;
        loop {
            for plan in self.choose(&service, measured) {
                let status = FetchStatus {
                    at_peers: 0,
                    stalled: false,
                    chosen: true,
                };
                self.fetches.borrow_mut().insert(plan.version, status);
                running.push(self.fetch_while_chosen(plan));
            }
            tokio::select! {
                Some((version, fetched)) = running.next(), if !running.is_empty() => {
                    self.fetches.borrow_mut().remove(&version);
                    self.cache.evict_old_versions();
                    measured = fetched.or(measured);
                }
                () = sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Decides which versions to fetch, and marks the fetches under way that are given up. Returns the
    /// versions whose fetch is to begin.
    fn choose(&self, service: &ServiceId, measured: Option<MeasuredFetch>) -> Vec<LoadPlan> {
        let now = Instant::now();
        let plans = self.view.borrow().announced_plans(service);
        let Some((newest, _)) = plans.last() else {
            return Vec::new();
        };
        let loaded = self.monitor.state().and_then(|state| state.report.weights);
        let complete = self.cache.newest_complete_version().max(loaded);
        let serves_until = match complete {
            Some(complete) => self.view.borrow().deadline_of(&newest.model, complete),
            None => Some(now),
        };
        let mut times = TransferTimes::of_link(self.link_time(newest));
        if let Some(measured) = measured {
            times.record_fetch(measured.fetched, newest.engine.pieces, measured.elapsed);
        }
        let mut fetches = self.fetches.borrow_mut();
        let progress = plans.iter().map(|(plan, deadline)| {
            let status = fetches.get(&plan.version);
            VersionProgress {
                version: plan.version,
                pieces: plan.engine.pieces,
                missing: plan
                    .engine
                    .pieces
                    .saturating_sub(self.cache.size(plan.version).0),
                at_peers: status.map_or(0, |status| status.at_peers),
                active: status.is_some(),
                stalled: status.is_some_and(|status| status.stalled),
                deadline: *deadline,
            }
        });
        let progress: Vec<VersionProgress> = progress.collect();
        let chosen = versions_to_fetch(&progress, complete, serves_until, times, now);
        for (version, status) in fetches.iter_mut() {
            status.chosen = chosen.contains(version);
        }
        let idle = plans
            .iter()
            .map(|(plan, _)| plan)
            .filter(|plan| chosen.contains(&plan.version) && !fetches.contains_key(&plan.version));
        idle.filter(|plan| self.may_fetch(plan)).cloned().collect()
    }

    /// Time in which all pieces of a version pass the link of this agent.
    fn link_time(&self, plan: &LoadPlan) -> Duration {
        let sizes = self.fetches.borrow();
        let sizes = sizes.keys().map(|version| self.cache.size(*version));
        let Some((count, bytes)) = sizes.max().filter(|(count, _)| *count > 0) else {
            return DEFAULT_LINK_TIME;
        };
        if self.link_bytes_per_second == 0 {
            return DEFAULT_LINK_TIME;
        }
        let bytes = bytes * u64::from(plan.engine.pieces) / u64::from(count);
        Duration::from_millis(bytes * 1_000 / self.link_bytes_per_second)
    }

    /// Whether a fetch can begin. While the engine does not respond, it may have the version staged
    /// already, so nothing is fetched unless another agent has it.
    fn may_fetch(&self, plan: &LoadPlan) -> bool {
        self.monitor.state().is_some() || (!self.first_start && self.is_held_by_peer(plan))
    }

    /// Fetches a version until it is given up. Returns the version, and the duration of a fetch that
    /// was complete.
    async fn fetch_while_chosen(&self, plan: LoadPlan) -> (WeightsVersion, Option<MeasuredFetch>) {
        let version = plan.version;
        let given_up = async {
            let is_chosen = || {
                let fetches = self.fetches.borrow();
                fetches.get(&version).is_some_and(|status| status.chosen)
            };
            while is_chosen() {
                sleep(POLL_INTERVAL).await;
            }
        };
        let measured = tokio::select! {
            measured = self.fetch(&plan) => Some(measured),
            () = given_up => {
                log::info!(version; "fetch superseded");
                None
            }
        };
        let is_complete = self.cache.is_complete(version);
        if measured.is_some() && !is_complete {
            sleep(RETRY_PAUSE).await;
        }
        (version, measured.filter(|_| is_complete))
    }

    /// Whether another agent has all pieces of the version.
    fn is_held_by_peer(&self, plan: &LoadPlan) -> bool {
        let agents = self.view.borrow_mut().agents(Instant::now());
        agents.iter().any(|agent| agent.holds == Some(plan.version))
    }

    /// Fetches the digests of a version and then its missing pieces. Ends early if the digests turn
    /// out to be wrong.
    async fn fetch(&self, plan: &LoadPlan) -> MeasuredFetch {
        let started = Instant::now();
        let digests_item = plan.engine.pieces;
        let has_digests =
            |cache: &PieceCache| cache.with(plan.version, |pieces| pieces.digests.is_some());
        if !has_digests(&self.cache) {
            self.fetch_items(plan, vec![digests_item]).await;
        }
        if self.cache.newest_complete_version().is_none() {
            self.reuse_staged(plan).await;
        }
        self.reuse_cached(plan);
        let missing: Vec<u32> = self.cache.with(plan.version, |pieces| {
            let all = 0..plan.engine.pieces;
            all.filter(|piece| !pieces.pieces.contains_key(piece))
                .collect()
        });
        let total = missing.len();
        let from_origin = self.fetch_items(plan, missing).await;
        // `total` counts the pieces that were neither cached nor staged, `from_origin` those fetched
        // from the origin; `ms` is the duration of the fetch.
        let complete = self.cache.is_complete(plan.version);
        let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let version = plan.version;
        log::info!(version, total, from_origin, complete, ms; "pieces fetched");
        MeasuredFetch {
            fetched: u32::try_from(total).unwrap_or(u32::MAX),
            elapsed: started.elapsed(),
        }
    }

    /// Fetches `items`, which are pieces or the digests. Returns the number of those fetched from
    /// the origin. Ends early if the digests turn out to be wrong.
    async fn fetch_items(&self, plan: &LoadPlan, items: Vec<u32>) -> usize {
        let mut agents = self.agents();
        let mut agents_at = Instant::now();
        let seed = rank::seed(self.own.overlay.to_string().as_bytes());
        // The digests are small, and without them no piece of the version can be verified: they do not
        // wait for the pieces of another version.
        let is_digests = items == [plan.engine.pieces];
        let mut fetch = PieceFetch::new(
            self.planner(plan, &agents),
            items,
            PARALLEL_PIECES,
            seed,
            agents_at,
        );
        let mut watches = PeerWatches::new(plan.clone());
        let idle_clients = IdleClients::default();
        let stage_queue = Rc::new(RefCell::new(VecDeque::new()));
        let mut running = FuturesUnordered::new();
        let mut staging = FuturesUnordered::new();
        let mut mismatches: BTreeMap<u32, u32> = BTreeMap::new();
        let mut from_origin = 0;
        while !fetch.is_complete() {
            let now = Instant::now();
            if now.saturating_duration_since(agents_at) >= AGENTS_INTERVAL {
                agents_at = now;
                let known = self.agents();
                if known != agents {
                    agents = known;
                    fetch.set_planner(self.planner(plan, &agents));
                }
            }
            watches.set_wanted(fetch.watches(now));
            if let Some(status) = self.fetches.borrow_mut().get_mut(&plan.version) {
                status.at_peers = fetch.missing_at_peers();
                status.stalled = fetch.is_stalled(now);
            }
            let wanted = self.cache.wanted(plan.version);
            while self.in_flight.get() < PARALLEL_PIECES_IN_ALL
                && let Some((item, source)) =
                    fetch.next(&wanted, is_digests || self.at_origin.get() == 0, now)
            {
                let slot = FetchSlot::take(&self.in_flight);
                let origin_slot =
                    (source == PieceSource::Origin).then(|| FetchSlot::take(&self.at_origin));
                let slots = (slot, origin_slot);
                running.push(self.request(plan, item, source, &idle_clients, slots));
            }
            if staging.is_empty() && !stage_queue.borrow().is_empty() && self.may_prestage(plan) {
                staging.push(self.prestage(plan, &stage_queue));
            }
            tokio::select! {
                Some((item, source, outcome)) = running.next(), if !running.is_empty() => {
                    let now = Instant::now();
                    match outcome {
                        FetchOutcome::Fetched => {
                            from_origin += usize::from(source == PieceSource::Origin);
                            fetch.record_fetched(item, &source, now);
                            stage_queue.borrow_mut().push_back(item);
                            continue;
                        }
                        FetchOutcome::Lost => {
                            if let PieceSource::Agent(peer) = source {
                                fetch.record_lost(peer, now);
                            }
                        }
                        FetchOutcome::Failed => {}
                        FetchOutcome::Corrupt => {
                            let count = mismatches.entry(item).or_default();
                            *count += 1;
                            if *count >= MAX_MISMATCHES {
                                log::warn!(version = plan.version, piece = item; "digests dropped");
                                self.cache.with(plan.version, |pieces| pieces.digests = None);
                                return from_origin;
                            }
                        }
                    }
                    fetch.record_failed(item, source, now);
                }
                Some(()) = staging.next(), if !staging.is_empty() => {}
                Some(event) = watches.next_event() => {
                    let mut event = Some(event);
                    while let Some(news) = event {
                        let now = Instant::now();
                        match news {
                            WatchEvent::Ready(peer, pieces) => {
                                fetch.record_ready(peer, &pieces, now);
                            }
                            WatchEvent::Lost(peer) => fetch.record_lost(peer, now),
                        }
                        event = watches.try_event();
                    }
                }
                () = sleep(FETCH_TICK) => {}
            }
        }
        from_origin
    }

    /// The known agents.
    fn agents(&self) -> Vec<PieceAgent> {
        self.view.borrow_mut().agents(Instant::now())
    }

    /// A planner that ranks the sources of each piece among `agents`.
    fn planner(&self, plan: &LoadPlan, agents: &[PieceAgent]) -> SourcePlanner {
        let limits = SourceLimits {
            pieces: plan.engine.pieces,
            fetchers: self.origin_fetchers,
        };
        SourcePlanner::new(agents, &self.own, plan.version, limits)
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

    /// The version newer than `loaded`, the one of the engine, that the stage holds, but for corrupt
    /// pieces; none if there is none. Fetches the digests that it needs.
    ///
    /// # Errors
    /// The stage cannot be read.
    pub async fn staged_version(
        &self,
        plan: &LoadPlan,
        loaded: Option<WeightsVersion>,
    ) -> Result<Option<WeightsVersion>, StoreError> {
        let mut staged = Vec::new();
        for piece in 0..plan.engine.pieces {
            let Some(data) = self.engine.staged(&plan.model, piece).await? else {
                return Ok(None);
            };
            staged.push((piece, data));
        }
        // The origin has no digests of older versions.
        let candidates = [plan.version, plan.version.saturating_sub(1)];
        let newer = candidates
            .into_iter()
            .filter(|candidate| *candidate > loaded.unwrap_or_default());
        for version in newer {
            let plan = LoadPlan {
                version,
                ..plan.clone()
            };
            let digests = self.fetch_items(&plan, vec![plan.engine.pieces]);
            if timeout(DIGESTS_TIMEOUT, digests).await.is_err() {
                log::warn!(version; "no digests for the staged pieces");
                continue;
            }
            let matching = self.cache.with(version, |pieces| {
                let matches = |(piece, data): &&(u32, Bytes)| pieces.matches_digest(*piece, data);
                staged.iter().filter(matches).count()
            });
            // Some pieces may be corrupt; a stage that is being filled with another version has
            // pieces of both.
            if 2 * matching > staged.len() {
                return Ok(Some(version));
            }
        }
        Ok(None)
    }

    /// Fetches the pieces of the version of `plan`, unless that takes too long. Returns whether all
    /// are cached.
    pub async fn fetch_in_time(&self, plan: &LoadPlan) -> bool {
        self.reuse_staged(plan).await;
        let fetched = timeout(RECOVERY_TIMEOUT, self.fetch(plan)).await;
        fetched.is_ok() && self.cache.is_complete(plan.version)
    }

    /// Caches the pieces that are the same as in another cached version.
    fn reuse_cached(&self, plan: &LoadPlan) {
        for piece in 0..plan.engine.pieces {
            if let Some(data) = self.cache.find_same_piece(plan.version, piece) {
                self.cache
                    .with(plan.version, |pieces| pieces.pieces.insert(piece, data));
            }
        }
    }

    /// Whether pieces of the version of `plan` may be staged ahead of their load: the stage holds one
    /// version, and an older one that is being fetched, or is to be loaded, comes first.
    fn may_prestage(&self, plan: &LoadPlan) -> bool {
        let loaded = self.monitor.state().and_then(|state| state.report.weights);
        let complete = self.cache.newest_complete_version();
        let is_next = |complete| complete == plan.version || loaded >= Some(complete);
        let fetches = self.fetches.borrow();
        let mut older = fetches.range(..plan.version);
        older.next().is_none() && complete.is_none_or(is_next)
    }

    /// Stages the pieces of `queue` as soon as they are fetched, so that they survive a restart of
    /// this agent.
    async fn prestage(&self, plan: &LoadPlan, queue: &RefCell<VecDeque<u32>>) {
        loop {
            let piece = queue.borrow_mut().pop_front();
            let Some(piece) = piece.filter(|_| self.monitor.state().is_some()) else {
                return;
            };
            let data = self
                .cache
                .with(plan.version, |pieces| pieces.pieces.get(&piece).cloned());
            let Some(data) = data else {
                continue;
            };
            if let Err(err) = self.writer.prestage(&plan.model, piece, data).await {
                log::info!(piece, err:?; "cannot stage a piece ahead of its load");
            }
        }
    }

    /// Requests a piece or the digests from `source` and caches it.
    async fn request(
        &self,
        plan: &LoadPlan,
        item: u32,
        source: PieceSource,
        idle_clients: &IdleClients,
        slots: (FetchSlot, Option<FetchSlot>),
    ) -> (u32, PieceSource, FetchOutcome) {
        let outcome = if item == plan.engine.pieces {
            self.request_digests(plan, source).await
        } else {
            self.request_piece(plan, item, source, idle_clients).await
        };
        drop(slots);
        (item, source, outcome)
    }

    async fn request_digests(&self, plan: &LoadPlan, source: PieceSource) -> FetchOutcome {
        let digests = match source {
            PieceSource::Agent(peer) => pull_digests(peer, plan).await,
            PieceSource::Origin => self.origin_digests(plan).await,
        };
        let digests = match digests {
            Ok(digests) => digests,
            Err(err) => {
                log::warn!(version = plan.version, source:?, err:%; "cannot fetch digests");
                return FetchOutcome::Failed;
            }
        };
        if digests.digests.len() != plan.engine.pieces as usize {
            log::warn!(source:?, pieces = digests.digests.len(); "wrong number of digests");
            return FetchOutcome::Failed;
        }
        self.cache
            .with(plan.version, |pieces| pieces.set_digests(digests));
        FetchOutcome::Fetched
    }

    async fn origin_digests(&self, plan: &LoadPlan) -> Result<PieceDigests> {
        let origin = plan
            .origin
            .ok_or_else(|| eyre!("the configuration has no origin"))?;
        let digests = self.engine.digests(origin, &plan.model, plan.version);
        digests.await.map_err(|err| eyre!("{err:?}"))
    }

    async fn request_piece(
        &self,
        plan: &LoadPlan,
        piece: u32,
        source: PieceSource,
        idle_clients: &IdleClients,
    ) -> FetchOutcome {
        let version = plan.version;
        let data = match source {
            PieceSource::Agent(peer) => {
                let client = match idle_client(peer, idle_clients).await {
                    Ok(client) => client,
                    Err(err) => {
                        log::info!(peer:%, piece, err:%; "agent lost");
                        return FetchOutcome::Lost;
                    }
                };
                let pull = pull_ranges(client, plan, piece);
                match timeout(PULL_TIMEOUT, pull).await {
                    Ok(Ok((data, client))) => {
                        let idle = (client, Instant::now());
                        idle_clients.borrow_mut().insert(peer, idle);
                        data
                    }
                    Ok(Err(err)) => {
                        log::info!(peer:%, piece, version, err:%; "cannot pull a piece");
                        return FetchOutcome::Failed;
                    }
                    Err(_) => {
                        log::info!(peer:%, piece, version; "pull of a piece timed out");
                        return FetchOutcome::Failed;
                    }
                }
            }
            PieceSource::Origin => match self.origin_piece(plan, piece).await {
                Ok(data) => data,
                Err(err) => {
                    log::warn!(piece, version, err:%; "cannot fetch a piece from the origin");
                    return FetchOutcome::Failed;
                }
            },
        };
        let matches = self.cache.with(version, |pieces| {
            let matches = pieces.matches_digest(piece, &data);
            if matches {
                pieces.pieces.insert(piece, data);
            }
            matches
        });
        if matches {
            return FetchOutcome::Fetched;
        }
        log::warn!(piece, version, source:?; "piece does not match its digest");
        FetchOutcome::Corrupt
    }

    async fn origin_piece(&self, plan: &LoadPlan, piece: u32) -> Result<Bytes> {
        let origin = plan
            .origin
            .ok_or_else(|| eyre!("the configuration has no origin"))?;
        let data = self.engine.piece(origin, &plan.model, plan.version, piece);
        data.await.map_err(|err| eyre!("{err:?}"))
    }
}

async fn pull_digests(peer: SocketAddr, plan: &LoadPlan) -> Result<PieceDigests> {
    let query = PullQuery::Digests(DigestsQuery {
        model: plan.model.clone(),
        version: plan.version,
    });
    let answer = overlay::pull(peer, query, PULL_TIMEOUT).await?;
    if !answer.found {
        bail!("the agent has no digests");
    }
    let chunks = answer.data.chunks_exact(DIGEST_BYTES);
    let digests = chunks.filter_map(|chunk| chunk.try_into().ok()).collect();
    Ok(PieceDigests { digests })
}

/// An idle connection to `peer`, or a new one.
async fn idle_client(peer: SocketAddr, idle_clients: &IdleClients) -> Result<PullClient> {
    let idle = idle_clients.borrow_mut().remove(&peer);
    match idle.filter(|(_, used_at)| used_at.elapsed() < IDLE_TIMEOUT) {
        Some((client, _)) => Ok(client),
        None => PullClient::connect(peer).await,
    }
}

/// Pulls a piece from another agent, range by range. Returns it with the connection.
async fn pull_ranges(
    mut client: PullClient,
    plan: &LoadPlan,
    piece: u32,
) -> Result<(Bytes, PullClient)> {
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
            bail!("the agent does not have the piece");
        }
        data.extend_from_slice(&answer.data);
        if data.len() >= answer.size as usize {
            return Ok((data.freeze(), client));
        }
        if answer.data.is_empty() {
            bail!("empty range of a piece");
        }
    }
}
