//! Polls the engine's state and reports it to the entries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::{RegionId, ServiceId};
use agatepin_core::relay::speed::SpeedFactor;
use agatepin_core::relay::subset;
use agatepin_core::relay::upstreams::EngineMemory;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::loader::cache::PieceCache;
use crate::loader::swap::{SwapFlag, UnverifiedVersion};
use crate::loader::view::SharedView;
use crate::relay::datagram::{Datagram, DatagramBody, EngineLoad, NewestWeights};
use crate::relay::ports::{EnginePort, EngineState};

/// Pause between two polls of the engine's state during a swap of weights.
const SWAP_POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Longest time between two reports of an unchanged state to the few entries that are sent each
/// change (see `subset::report_receivers`).
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time between two reports to all other entries; entries of other regions also receive
/// summaries from the entries of this region.
const REDUCED_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Step to which the reported pace is rounded, in thousandths, so that small changes cause no reports.
const PACE_STEP: u32 = 100;
/// Number of parts of an engine's memory to which its use is rounded, so that small changes cause no
/// reports.
const MEMORY_PARTS: u64 = 64;
/// Consecutive failed polls after which the engine counts as down.
const FAILED_POLLS_TO_DOWN: u32 = 2;

/// Results of the latest polls of the engine's state, shared by the agent's tasks.
#[derive(Clone, Debug, Default)]
pub struct EngineMonitor {
    /// State from the last successful poll; none before the first and while the engine counts as
    /// down.
    state: Rc<RefCell<Option<EngineState>>>,
    /// Number of consecutive failed polls.
    failures: Rc<Cell<u32>>,
}

impl EngineMonitor {
    /// The last state that was read; none before the first one and while the engine counts as down.
    #[must_use]
    pub fn state(&self) -> Option<EngineState> {
        self.state.borrow().clone()
    }

    /// Records the result of a poll; `state` is none if the poll failed.
    fn record(&self, state: Option<EngineState>) {
        if state.is_some() {
            if self.failures.replace(0) >= FAILED_POLLS_TO_DOWN {
                log::info!("engine responds again");
            }
            *self.state.borrow_mut() = state;
            return;
        }
        self.failures.set(self.failures.get() + 1);
        if self.failures.get() == FAILED_POLLS_TO_DOWN {
            log::warn!("engine does not respond");
            *self.state.borrow_mut() = None;
        }
    }
}

/// Polls the engine and sends its load to the entries as datagrams.
pub struct LoadReporter<Engine> {
    /// Engine beside this agent.
    pub engine: Engine,
    /// Monitor that the results of the polls are recorded in.
    pub monitor: EngineMonitor,
    /// Address of the engine, by which entries know it.
    pub address: SocketAddr,
    /// Address at which other daemons reach the agent; decides which entries are sent each change.
    pub overlay: SocketAddr,
    /// Region of the agent.
    pub region: RegionId,
    /// Service of the engine.
    pub service: ServiceId,
    /// Pieces of this agent; the newest complete version is part of the report.
    pub cache: PieceCache,
    /// Source of the entries to report to.
    pub view: SharedView,
    /// Whether a swap of weights is in progress; the engine is then reported as busy.
    pub swapping: SwapFlag,
    /// Version that the engine may have loaded from corrupt pieces; it is then reported as busy.
    pub unverified: UnverifiedVersion,
    /// Socket that reports are sent from.
    pub socket: Rc<UdpSocket>,
}

impl<Engine> LoadReporter<Engine>
where
    Engine: EnginePort,
{
    /// Polls the engine and reports its load until the task is dropped.
    pub async fn run(self) {
        let mut frequent_report = LastReport::default();
        let mut reduced_report = LastReport::default();
        loop {
            let state = self.engine.state().await;
            if let Err(err) = &state {
                log::debug!("cannot read the engine's state: {err:?}");
            }
            self.monitor.record(state.ok());
            let load = self.load();
            let now = Instant::now();
            let frequent_due =
                frequent_report.is_due(&load, |last| *last != load, REPORT_INTERVAL, now);
            let reduced_due = reduced_report.is_due(
                &load,
                |last| differs_in_state(last, &load),
                REDUCED_REPORT_INTERVAL,
                now,
            );
            if frequent_due || reduced_due {
                self.send(&load, frequent_due, reduced_due, now);
            }
            sleep(self.poll_interval()).await;
        }
    }

    /// Pause until the next poll of the engine's state.
    fn poll_interval(&self) -> Duration {
        if self.swapping.get() {
            return SWAP_POLL_INTERVAL;
        }
        subset::report_interval(self.view.borrow().agents_in_region(&self.region))
    }

    /// The report for the entries from the engine's last state. While the engine counts as down, it
    /// has no weights and no requests.
    fn load(&self) -> EngineLoad {
        let state = self.monitor.state();
        let report = state.map(|state| state.report);
        let memory = report.as_ref().and_then(|r| r.memory);
        let weights = report.as_ref().and_then(|r| r.weights);
        let unverified = self.unverified.get();
        let is_unverified = unverified.is_some_and(|version| weights >= Some(version));
        EngineLoad {
            engine: self.address.to_string(),
            region: self.region.clone(),
            up: report.is_some(),
            weights: weights.unwrap_or_default(),
            busy: self.swapping.get() || is_unverified || report.as_ref().is_some_and(|r| r.busy),
            active: report.as_ref().map_or(0, |r| r.active),
            queued: report.as_ref().map_or(0, |r| r.queued),
            holds: self.cache.newest_complete_version().unwrap_or_default(),
            newest: Vec::new(),
            pace: report.as_ref().and_then(|r| r.pace).map(rounded_pace),
            memory_used: memory.map_or(0, rounded_memory),
            memory_max: memory.map_or(0, |memory| memory.max),
        }
    }

    /// Sends `load` to the entries that are sent each change where `frequent_due` is set, and to
    /// the others where `reduced_due` is set.
    fn send(&self, load: &EngineLoad, frequent_due: bool, reduced_due: bool, now: Instant) {
        let mut view = self.view.borrow_mut();
        let newest = view.newest_versions(&self.service);
        let newest = newest.map(|(version, age)| NewestWeights {
            version,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        });
        let load = EngineLoad {
            newest: newest.collect(),
            ..load.clone()
        };
        let data = Datagram {
            body: Some(DatagramBody::Load(load)),
        };
        let data = data.encode_to_vec();
        let entries: Vec<_> = view.entries(now).collect();
        let report_receivers = subset::report_receivers(self.overlay, &self.region, &entries);
        for (entry, _) in entries {
            let due = if report_receivers.contains(&entry) {
                frequent_due
            } else {
                reduced_due
            };
            if !due {
                continue;
            }
            if let Err(err) = self.socket.try_send_to(&data, entry) {
                log::debug!("cannot send the load report to {entry}: {err}");
            }
        }
    }
}

/// The last load that was reported to one group of entries (those that are sent each change, or all
/// others), and when; none before the first report.
#[derive(Default)]
struct LastReport(Option<(EngineLoad, Instant)>);

impl LastReport {
    /// Whether `load` is to be reported now: `changed` holds for the last report, or that is older
    /// than `interval`. Records `load` as reported if so.
    fn is_due<Changed>(
        &mut self,
        load: &EngineLoad,
        changed: Changed,
        interval: Duration,
        now: Instant,
    ) -> bool
    where
        Changed: Fn(&EngineLoad) -> bool,
    {
        let due = self.0.as_ref().is_none_or(|(last, at)| {
            changed(last) || now.saturating_duration_since(*at) >= interval
        });
        if due {
            self.0 = Some((load.clone(), now));
        }
        due
    }
}

/// `pace` in thousandths, rounded to [`PACE_STEP`].
fn rounded_pace(pace: SpeedFactor) -> u32 {
    (pace.thousandths() + PACE_STEP / 2) / PACE_STEP * PACE_STEP
}

/// The used memory, rounded up to a multiple of a [`MEMORY_PARTS`]th of all.
fn rounded_memory(memory: EngineMemory) -> u64 {
    let step = (memory.max / MEMORY_PARTS).max(1);
    memory.used.div_ceil(step).saturating_mul(step)
}

/// Whether two loads of an engine differ in anything but the numbers of requests.
fn differs_in_state(old: &EngineLoad, new: &EngineLoad) -> bool {
    (old.up, old.weights, old.busy, old.holds) != (new.up, new.weights, new.busy, new.holds)
}
