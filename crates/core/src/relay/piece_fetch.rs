//! The fetch of one version of weights by one agent: which piece it requests next, and from where.
//! Other agents tell which pieces they have, so no request waits at an agent without the piece. The
//! origin is asked for one piece at a time, by the agents whose turn it is.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::rank;
use crate::relay::sources::{PieceRole, PieceSource, SourcePlanner};

/// Time after which a piece that a less preferred source has is requested there, for each preferred
/// source that does not have it yet.
const SOURCE_PATIENCE: Duration = Duration::from_millis(300);
/// Longest such time, however many preferred sources there are.
const MAX_PATIENCE: Duration = Duration::from_millis(900);
/// Number of sources of a piece that are watched from the start. The others are watched while no
/// piece arrives, and in a fetch that takes longer than [`NORMAL_FETCH_TIME`].
const WATCHED_SOURCES: usize = 2;
/// Time after which only a few pieces should be missing.
const NORMAL_FETCH_TIME: Duration = Duration::from_millis(2_500);
/// Time after which other sources are asked for the missing pieces even if pieces still arrive.
const LONG_FETCH_TIME: Duration = Duration::from_millis(4_500);
/// Part of all pieces that count as few, as a divisor. Where a fifth of the agents does not know each
/// other, up to this part has no fetcher that all agree on.
const FEW_PIECES_DIVISOR: usize = 4;
/// How much longer than without any progress a piece must be overdue while others arrive: its fetcher may
/// be busy with another version.
const PASSED_PIECE_FACTOR: u32 = 2;
/// Time without progress after which the next fetcher in turn asks the origin.
const ORIGIN_TAKEOVER: Duration = Duration::from_millis(1_500);
/// The same once this agent has taken over a piece: others of that fetcher are missing too.
const NEXT_TAKEOVER: Duration = Duration::from_millis(400);
/// The same for the digests, without which no piece can be verified.
const DIGESTS_TAKEOVER: Duration = Duration::from_millis(500);
/// Time for which an agent that cannot be reached is no source.
const LOST_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a source that failed to provide a piece, or sent a corrupt one, is not asked for
/// it again.
const FAILED_PAUSE: Duration = Duration::from_millis(800);
/// Shortest pause between two requests to the origin after a failed one; it doubles with each
/// further failure, up to the longest, and halves with each success.
const MIN_ORIGIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two requests to the origin.
const MAX_ORIGIN_PAUSE: Duration = Duration::from_millis(600);
/// Longest time for which an agent that knows no other agent waits for a list of them before it asks
/// the origin; the shortest is half of it. After a loss of power all agents are in this state.
const ALONE_WAIT: Duration = Duration::from_secs(3);

/// Paces one agent's requests to the origin.
#[derive(Debug)]
struct OriginPacer {
    /// Pause after the next failure.
    pause: Duration,
    /// Time of the next permitted request.
    next_at: Instant,
    /// Whether the last request failed.
    failing: bool,
    /// Source of the random parts of pauses; advanced with each use.
    seed: u64,
}

impl OriginPacer {
    /// Between half of `pause` and the whole, at random.
    fn jittered(&mut self, pause: Duration) -> Duration {
        self.seed = rank::score_seeds(self.seed, 1);
        let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX).max(2);
        Duration::from_millis(millis / 2 + self.seed % (millis / 2))
    }

    fn record_failure(&mut self, now: Instant) {
        let pause = self.pause.max(MIN_ORIGIN_PAUSE);
        self.next_at = now + self.jittered(pause);
        self.failing = true;
        self.pause = (pause * 2).min(MAX_ORIGIN_PAUSE);
    }

    fn record_success(&mut self, now: Instant) {
        self.pause /= 2;
        self.next_at = now;
        self.failing = false;
    }
}

/// A piece that is not fetched yet.
#[derive(Debug)]
struct MissingPiece {
    /// Number of the piece.
    piece: u32,
    /// Agents to request it from, best first.
    sources: Vec<SocketAddr>,
    /// Role of this agent for the piece.
    role: PieceRole,
    /// Whether this agent may ask the origin for the piece at all.
    is_fetcher: bool,
    /// Agents whose turn at the origin comes before the one of this agent; empty if it has none.
    earlier_fetchers: Vec<SocketAddr>,
}

/// State of the fetch of one version, or of its digests, by one agent.
#[derive(Debug)]
pub struct PieceFetch {
    planner: SourcePlanner,
    /// Maximum number of pieces that are requested at a time.
    parallel: usize,
    /// Missing pieces, in the order in which this agent requests them.
    missing: Vec<MissingPiece>,
    /// Pieces that are being requested, and where.
    running: BTreeMap<u32, PieceSource>,
    /// Since when each agent is known to have a missing piece.
    ready: BTreeMap<SocketAddr, BTreeMap<u32, Instant>>,
    /// When each piece was first known to be at an agent, or fetched.
    seen: BTreeMap<u32, Instant>,
    /// Agents that could not be reached, and until when they are no source.
    lost: BTreeMap<SocketAddr, Instant>,
    /// Sources that failed to provide a piece, and until when they are not asked for it.
    failed: BTreeMap<(u32, PieceSource), Instant>,
    /// When the fetch began.
    started: Instant,
    /// When a piece was last fetched, or became known to be at another agent.
    progress_at: Instant,
    /// Whether this agent has asked the origin instead of another fetcher.
    has_taken_over: bool,
    origin: OriginPacer,
}

impl PieceFetch {
    /// A fetch of the pieces `missing`, at most `parallel` at a time. `seed` differs between agents:
    /// it decides the random parts of pauses.
    #[must_use]
    pub fn new(
        planner: SourcePlanner,
        mut missing: Vec<u32>,
        parallel: usize,
        seed: u64,
        now: Instant,
    ) -> Self {
        // All agents request the pieces in the same order: an agent then has the next piece of its
        // children in the distribution trees about when they are ready for it. The sources of two
        // pieces differ, so that this does not crowd one agent.
        missing.sort_unstable();
        let mut origin = OriginPacer {
            pause: Duration::ZERO,
            next_at: now,
            failing: false,
            seed,
        };
        if planner.is_alone() {
            origin.next_at = now + origin.jittered(ALONE_WAIT);
        }
        let missing = missing.into_iter().map(|piece| MissingPiece {
            piece,
            sources: Vec::new(),
            role: PieceRole::Receive,
            is_fetcher: false,
            earlier_fetchers: Vec::new(),
        });
        let mut fetch = Self {
            parallel,
            missing: missing.collect(),
            running: BTreeMap::new(),
            ready: BTreeMap::new(),
            seen: BTreeMap::new(),
            lost: BTreeMap::new(),
            failed: BTreeMap::new(),
            started: now,
            progress_at: now,
            has_taken_over: false,
            origin,
            planner,
        };
        fetch.find_sources();
        fetch
    }

    /// Replaces the planner after the known agents have changed.
    pub fn set_planner(&mut self, planner: SourcePlanner) {
        self.planner = planner;
        self.find_sources();
    }

    fn find_sources(&mut self) {
        for missing in &mut self.missing {
            missing.sources = self.planner.sources(missing.piece);
            missing.role = self.planner.role(missing.piece);
            let turn = self.planner.origin_turn(missing.piece, |_| false);
            missing.is_fetcher = turn.is_some();
            missing.earlier_fetchers = self.planner.piece_fetchers(missing.piece);
            let own = missing.earlier_fetchers.iter();
            let own = own.clone().position(|agent| *agent == self.planner.own());
            missing.earlier_fetchers.truncate(own.unwrap_or(0));
        }
    }

    /// Whether all pieces are fetched.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Agents to ask which of these pieces they have; answers go to [`Self::record_ready`] and
    /// [`Self::record_lost`].
    #[must_use]
    pub fn watches(&self, now: Instant) -> BTreeMap<SocketAddr, BTreeSet<u32>> {
        let quiet = self.quiet(now);
        let age = now.saturating_duration_since(self.started);
        let mut found: BTreeMap<SocketAddr, BTreeSet<u32>> = BTreeMap::new();
        for missing in &self.missing {
            for fetcher in &missing.earlier_fetchers {
                if !self.is_lost(fetcher, now) && !self.has_ready(fetcher, missing.piece) {
                    found.entry(*fetcher).or_default().insert(missing.piece);
                }
            }
            let live = missing.sources.iter();
            let live = live.filter(|source| !self.is_lost(source, now));
            for (index, source) in live.enumerate() {
                let patience = SOURCE_PATIENCE * u32::try_from(index).unwrap_or(u32::MAX);
                let is_watched = quiet >= patience || age >= NORMAL_FETCH_TIME + patience;
                if index >= WATCHED_SOURCES && !is_watched {
                    break;
                }
                if !self.has_ready(source, missing.piece) {
                    found.entry(*source).or_default().insert(missing.piece);
                }
            }
        }
        found
    }

    /// Records that `source` has `pieces`.
    pub fn record_ready(&mut self, source: SocketAddr, pieces: &[u32], now: Instant) {
        self.lost.remove(&source);
        let ready = self.ready.entry(source).or_default();
        let mut is_new = false;
        for piece in pieces {
            if !ready.contains_key(piece) {
                ready.insert(*piece, now);
                self.seen.entry(*piece).or_insert(now);
                is_new = true;
            }
        }
        if is_new {
            self.record_progress(now);
        }
    }

    /// Records that pieces arrive. After a long pause the fetch counts as begun again: it took long
    /// because nothing could arrive, and the sources that come first are as good as at its start.
    fn record_progress(&mut self, now: Instant) {
        if now.saturating_duration_since(self.progress_at) >= ORIGIN_TAKEOVER {
            self.started = now;
        }
        self.progress_at = now;
    }

    /// Records that `source` cannot be reached.
    pub fn record_lost(&mut self, source: SocketAddr, now: Instant) {
        self.ready.remove(&source);
        self.lost.insert(source, now + LOST_PAUSE);
    }

    /// Number of missing pieces that another agent is known to have.
    #[must_use]
    pub fn missing_at_peers(&self) -> u32 {
        let is_ready = |missing: &&MissingPiece| {
            let mut known = self.ready.values();
            known.any(|ready| ready.contains_key(&missing.piece))
        };
        let count = self.missing.iter().filter(is_ready).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Whether the origin failed the last request of this agent, or nothing arrives.
    #[must_use]
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.origin.failing || now.saturating_duration_since(self.progress_at) >= ORIGIN_TAKEOVER
    }

    /// The piece to request now, and its source; none while nothing can be requested. Pieces that
    /// others depend on come first: those that another agent waits for (`wanted`), and those that
    /// this agent fetches from the origin or imports into its region. `origin_free` tells whether no
    /// other fetch of this agent uses its connection to the origin.
    pub fn next(
        &mut self,
        wanted: &BTreeSet<u32>,
        origin_free: bool,
        now: Instant,
    ) -> Option<(u32, PieceSource)> {
        if self.running.len() >= self.parallel {
            return None;
        }
        let is_needed = |missing: &&MissingPiece| {
            missing.role != PieceRole::Receive || wanted.contains(&missing.piece)
        };
        let needed = self.missing.iter().filter(is_needed);
        let others = self.missing.iter().filter(|missing| !is_needed(missing));
        let mut idle = needed
            .chain(others)
            .filter(|missing| !self.running.contains_key(&missing.piece));
        let (piece, source) = idle.find_map(|missing| {
            let source = self.source(missing, origin_free, now)?;
            Some((missing.piece, source))
        })?;
        self.running.insert(piece, source);
        Some((piece, source))
    }

    /// Records that a requested piece arrived and was verified.
    pub fn record_fetched(&mut self, piece: u32, source: &PieceSource, now: Instant) {
        self.running.remove(&piece);
        self.missing.retain(|missing| missing.piece != piece);
        self.seen.entry(piece).or_insert(now);
        let is_lost = |agent: &SocketAddr| self.is_lost(agent, now);
        if *source == PieceSource::Origin {
            let has_returned = self.origin.failing;
            self.has_taken_over |= self.planner.origin_turn(piece, is_lost) != Some(0);
            self.origin.record_success(now);
            if has_returned {
                // Nothing arrived because the origin failed, not because of its fetchers.
                self.has_taken_over = false;
                self.record_progress(now);
            }
        }
        if !self.has_taken_over || *source != PieceSource::Origin {
            self.record_progress(now);
        }
    }

    /// Records that a request for a piece failed, or that its data was corrupt.
    pub fn record_failed(&mut self, piece: u32, source: PieceSource, now: Instant) {
        self.running.remove(&piece);
        match source {
            PieceSource::Origin => self.origin.record_failure(now),
            PieceSource::Agent(agent) => {
                if let Some(ready) = self.ready.get_mut(&agent) {
                    ready.remove(&piece);
                }
                self.failed.insert((piece, source), now + FAILED_PAUSE);
            }
        }
    }

    /// The source that a missing piece can be requested from now, if any.
    fn source(
        &self,
        missing: &MissingPiece,
        origin_free: bool,
        now: Instant,
    ) -> Option<PieceSource> {
        let piece = missing.piece;
        let mut patience = Duration::ZERO;
        for agent in &missing.sources {
            let source = PieceSource::Agent(*agent);
            let failed = self.failed.get(&(piece, source));
            if self.is_lost(agent, now) || failed.is_some_and(|until| now < *until) {
                continue;
            }
            let ready = self.ready.get(agent).and_then(|ready| ready.get(&piece));
            if ready.is_some_and(|since| now >= *since + patience) {
                return Some(source);
            }
            patience = (patience + SOURCE_PATIENCE).min(MAX_PATIENCE);
        }
        let may_ask_origin = origin_free && missing.is_fetcher && self.may_ask_origin(piece, now);
        may_ask_origin.then_some(PieceSource::Origin)
    }

    /// Whether this agent may request a piece from the origin now.
    fn may_ask_origin(&self, piece: u32, now: Instant) -> bool {
        let asking = self.running.values();
        if now < self.origin.next_at || asking.into_iter().any(|at| *at == PieceSource::Origin) {
            return false;
        }
        let is_lost = |agent: &SocketAddr| self.is_lost(agent, now);
        let Some(turn) = self.planner.origin_turn(piece, is_lost) else {
            return false;
        };
        let takeover = if piece == self.planner.digests_item() {
            DIGESTS_TAKEOVER
        } else if self.has_taken_over {
            NEXT_TAKEOVER
        } else {
            ORIGIN_TAKEOVER
        };
        let turn = u32::try_from(turn).unwrap_or(u32::MAX);
        turn == 0 || self.overdue(piece, now) >= takeover * turn
    }

    /// Time for which a piece is overdue at its fetcher: nothing arrives, or in a fetch that takes long,
    /// most pieces are known already, with some that fetchers request after it. Otherwise progress counts
    /// however long the fetch takes: over a slow link of the origin, the agents whose turn is later would
    /// request all pieces that the fetchers still wait for.
    fn overdue(&self, piece: u32, now: Instant) -> Duration {
        let quiet = now.saturating_duration_since(self.progress_at);
        let unseen = self.missing.iter();
        let unseen = unseen.filter(|missing| !self.seen.contains_key(&missing.piece));
        let few_pieces = self.planner.digests_item() as usize / FEW_PIECES_DIVISOR;
        let is_long = now.saturating_duration_since(self.started) >= LONG_FETCH_TIME;
        if !is_long || unseen.count() > few_pieces {
            return quiet;
        }
        let later = self.seen.range(piece.saturating_add(1)..);
        let passed_at = later.map(|(_, at)| *at).min();
        let passed = passed_at.map(|at| now.saturating_duration_since(at.max(self.started)));
        quiet.max(passed.unwrap_or_default() / PASSED_PIECE_FACTOR)
    }

    /// Time without progress. In a fetch that takes long, progress does not count any more.
    fn quiet(&self, now: Instant) -> Duration {
        let since = self.progress_at.min(self.started + LONG_FETCH_TIME);
        now.saturating_duration_since(since)
    }

    fn is_lost(&self, agent: &SocketAddr, now: Instant) -> bool {
        self.lost.get(agent).is_some_and(|until| now < *until)
    }

    fn has_ready(&self, source: &SocketAddr, piece: u32) -> bool {
        let ready = self.ready.get(source);
        ready.is_some_and(|ready| ready.contains_key(&piece))
    }
}
