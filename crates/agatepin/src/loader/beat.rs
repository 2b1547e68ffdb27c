//! Reads the engine's state and tells it to the entries.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use agatepin_core::ids::RegionId;
use agatepin_core::relay::subset;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::loader::swap::SwapFlag;
use crate::loader::vault::PieceVault;
use crate::loader::view::SharedView;
use crate::relay::datagram::{Datagram, DatagramBody, EngineLoad};
use crate::relay::ports::{EnginePort, EngineState};

/// Time between two reads of the engine's state.
const BEAT_INTERVAL: Duration = Duration::from_millis(80);
/// Longest time between two reports of a state that does not change.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The same for entries that are not told each change; those of its region tell them.
const FAR_INTERVAL: Duration = Duration::from_secs(1);
/// Failed reads in a row after which the engine counts as down.
const READS_TO_DOWN: u32 = 2;

/// The latest state of the engine; none while it does not answer.
#[derive(Clone, Debug, Default)]
pub struct EngineBeat {
    state: Rc<RefCell<Option<EngineState>>>,
    failures: Rc<Cell<u32>>,
}

impl EngineBeat {
    /// The latest state.
    #[must_use]
    pub fn state(&self) -> Option<EngineState> {
        self.state.borrow().clone()
    }

    fn read(&self, state: Option<EngineState>) {
        if state.is_some() {
            if self.failures.replace(0) >= READS_TO_DOWN {
                log::info!("engine answers again");
            }
            *self.state.borrow_mut() = state;
            return;
        }
        self.failures.set(self.failures.get() + 1);
        if self.failures.get() == READS_TO_DOWN {
            log::warn!("engine does not answer");
            *self.state.borrow_mut() = None;
        }
    }
}

/// Reads and tells for good.
pub struct BeatTeller<Engine> {
    /// The engine.
    pub engine: Engine,
    /// Its latest state.
    pub beat: EngineBeat,
    /// Its address.
    pub address: SocketAddr,
    /// Address of the agent for other daemons.
    pub overlay: SocketAddr,
    /// Region of the agent.
    pub region: RegionId,
    /// Pieces that are held.
    pub vault: PieceVault,
    /// The fleet.
    pub view: SharedView,
    /// Set while an order is given.
    pub swapping: SwapFlag,
    /// Socket of the agent.
    pub socket: Rc<UdpSocket>,
}

impl<Engine> BeatTeller<Engine>
where
    Engine: EnginePort,
{
    /// Runs for good.
    pub async fn run(self) {
        let mut near = LastReport::default();
        let mut far = LastReport::default();
        loop {
            let state = self.engine.state().await;
            if let Err(err) = &state {
                log::debug!("engine's state not read: {err:?}");
            }
            self.beat.read(state.ok());
            let load = self.load();
            let now = Instant::now();
            let near_due = near.is_due(&load, |last| *last != load, REPORT_INTERVAL, now);
            let far_due = far.is_due(
                &load,
                |last| differs_in_state(last, &load),
                FAR_INTERVAL,
                now,
            );
            if near_due || far_due {
                self.tell(&load, near_due, far_due, now);
            }
            sleep(BEAT_INTERVAL).await;
        }
    }

    fn load(&self) -> EngineLoad {
        let state = self.beat.state();
        let report = state.map(|state| state.report);
        EngineLoad {
            engine: self.address.to_string(),
            region: self.region.clone(),
            up: report.is_some(),
            weights: report.as_ref().and_then(|r| r.weights).unwrap_or_default(),
            busy: self.swapping.get() || report.as_ref().is_some_and(|r| r.busy),
            active: report.as_ref().map_or(0, |r| r.active),
            queued: report.as_ref().map_or(0, |r| r.queued),
            holds: self.vault.newest_complete().unwrap_or_default(),
        }
    }

    fn tell(&self, load: &EngineLoad, near: bool, far: bool, now: Instant) {
        let data = Datagram {
            body: Some(DatagramBody::Load(load.clone())),
        };
        let data = data.encode_to_vec();
        let mut view = self.view.borrow_mut();
        let entries: Vec<_> = view.entries(now).collect();
        let report_receivers = subset::report_receivers(self.overlay, &self.region, &entries);
        for (entry, _) in entries {
            let due = if report_receivers.contains(&entry) {
                near
            } else {
                far
            };
            if !due {
                continue;
            }
            if let Err(err) = self.socket.try_send_to(&data, entry) {
                log::debug!("report to {entry} not sent: {err}");
            }
        }
    }
}

/// The last report to some of the entries.
#[derive(Default)]
struct LastReport(Option<(EngineLoad, Instant)>);

impl LastReport {
    /// Whether `load` is to be reported now; then it counts as reported.
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

/// Whether more than the load has changed.
fn differs_in_state(old: &EngineLoad, new: &EngineLoad) -> bool {
    (old.up, old.weights, old.busy, old.holds) != (new.up, new.weights, new.busy, new.holds)
}
