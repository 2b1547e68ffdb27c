//! The task that owns the state of the spread, the exchange of configuration and membership between
//! processes. It handles events of links and of the platform (instance list and configuration row)
//! one at a time, gathers changes, and sends and publishes them in batches.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::InstanceId;
use agatepin_core::member::{ClusterMember, MemberHealth, MemberRole};
use agatepin_core::overlay;
use agatepin_core::pull::PullTracker;
use agatepin_core::spread::{ConfigSelector, ConfigSource};
use agatepin_core::tracker::{MemberRecord, MemberStatus, MemberTracker, TrackerPolicy};
use tokio::sync::{Notify, mpsc};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::convert;
use super::links;
use super::neighbours::NeighbourLinks;
use super::outputs::SpreadOutputs;
use super::platform;
use super::{SpreadHandle, SpreadOptions, SpreadState};
use crate::platform::instances::ListSnapshot;
use crate::platform::table::TableStore;
use crate::store;
use crate::wire::frames::{MemberNews, RevisionNews, frame::Body};
use crate::wire::link::PeerLink;

/// Maximum number of events that are queued for the spread task.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Maximum number of records in one `MemberNews` frame.
const MAX_FRAME_RECORDS: usize = 64;
/// Maximum number of fingerprints in one `RevisionNews` frame. A fingerprint identifies the
/// instance, the incarnation and the sequence number of a member record.
const MAX_FRAME_FINGERPRINTS: usize = 1024;
/// Time for which changes of the configuration and of member records are gathered before they are
/// sent to the neighbours and published to the other components of this process.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Number of ticks (heartbeat intervals) between two attempts to reach a member that was declared
/// dead.
const PROBE_INTERVAL_TICKS: u64 = 8;
/// Time after which a suspected member that has not refuted the suspicion is declared dead, in
/// heartbeat intervals.
const SUSPICION_HEARTBEATS: u32 = 10;
/// Time after which a dead member that is not in the instance list is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Identifies a link within one process; never reused.
pub(super) type LinkId = u64;

/// Event that the spread task handles.
#[derive(Debug)]
pub(super) enum SpreadEvent {
    /// A peer opened a link.
    Accepted(Box<PeerLink>),
    /// A link to the instance was opened.
    Opened(InstanceId, Box<PeerLink>),
    /// All attempts to open a link to the instance failed.
    OpenFailed(InstanceId),
    /// A frame other than a heartbeat arrived on the link.
    Frame(LinkId, Box<Body>),
    /// The link has closed.
    Closed(LinkId),
    /// The instance list was read.
    Listed(ListSnapshot),
    /// The row of the table service that contains the configuration was read; `None` if no
    /// configuration has been committed.
    TableRead(Option<Box<ClusterConfig>>),
    /// This process committed a configuration to the table for an operator.
    Committed(Box<ClusterConfig>),
}

/// State of the task that exchanges configuration and membership with the neighbours: the processes
/// that this one is linked to in the overlay.
#[derive(Debug)]
pub(super) struct SpreadTask {
    /// Decides which configuration is in force.
    pub(super) selector: ConfigSelector,
    /// Records of the cluster members.
    pub(super) tracker: MemberTracker,
    /// Links to neighbours, open or being opened.
    pub(super) links: NeighbourLinks,
    /// Channels to the other components of this process, and metrics.
    pub(super) outputs: SpreadOutputs,
    /// Interval between two ticks, which is the heartbeat interval.
    pub(super) tick_interval: Duration,
    /// Neighbours that offered a higher revision than the one in force, and the pull (request for a
    /// configuration) that is in progress.
    pub(super) pulls: PullTracker<LinkId>,
    /// Whether the configuration, the links, the instance list or the revisions in force in other
    /// members may have changed since the last flush. `tracker` tracks changed member records.
    pub(super) state_changed: bool,
    /// Whether the next tick chooses the neighbours again.
    pub(super) reselect_neighbours: bool,
    /// When changes are next sent and published; `None` if there are no changes.
    pub(super) flush_at: Option<time::Instant>,
    /// Number of ticks since the task started.
    pub(super) ticks: u64,
    /// Asks for an early read of the instance list, as it has probably changed.
    pub(super) list_refresh: Arc<Notify>,
    /// Cancelled when the process stops; ends the task.
    pub(super) stopped: CancellationToken,
}

/// Starts the spread task and the tasks that report to it. `accepted` receives the links that other
/// processes open.
pub(super) fn start<Store>(
    options: SpreadOptions<Store>,
    accepted: mpsc::UnboundedReceiver<PeerLink>,
) -> Result<SpreadHandle, prometheus::Error>
where
    Store: TableStore,
{
    let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let task = SpreadTask::new(&options, events.clone())?;
    let handle = SpreadHandle {
        config: task.outputs.config.subscribe(),
        members: task.outputs.members.subscribe(),
        config_known: task.outputs.config_known.subscribe(),
        state: task.outputs.state.subscribe(),
        events: events.clone(),
    };
    let stopped = options.stopped;
    tokio::spawn(links::forward_accepted(accepted, events.clone()));
    tokio::spawn(platform::read_table(
        options.store,
        options.table_interval,
        events.clone(),
        stopped.clone(),
    ));
    tokio::spawn(platform::read_instances(
        options.instances,
        options.list_interval,
        task.list_refresh.clone(),
        events,
        stopped,
    ));
    tokio::spawn(task.run(queue, options.leaving));
    Ok(handle)
}

impl SpreadTask {
    fn new<Store>(
        options: &SpreadOptions<Store>,
        events: mpsc::Sender<SpreadEvent>,
    ) -> Result<Self, prometheus::Error> {
        let identity = options.identity.clone();
        let own = MemberRecord {
            member: ClusterMember {
                instance: identity.instance.clone(),
                role: convert::member_role(identity.role).unwrap_or(MemberRole::Agent),
                data_centre: identity.data_centre.clone(),
                wire: options.wire,
                http: options.http,
                upstream: options.upstream.clone(),
                leaving: false,
                health: MemberHealth::Alive,
            },
            incarnation: identity.incarnation,
            number: 1,
            status: MemberStatus::Alive,
            config_revision: 0,
        };
        let policy = TrackerPolicy {
            suspicion_timeout: options.policy.heartbeat.interval * SUSPICION_HEARTBEATS,
            forget_after: FORGET_AFTER,
        };
        Ok(Self {
            selector: ConfigSelector::default(),
            tracker: MemberTracker::new(own, policy),
            links: NeighbourLinks::new(options, events),
            outputs: SpreadOutputs::new(&options.registry)?,
            tick_interval: options.policy.heartbeat.interval,
            pulls: PullTracker::default(),
            state_changed: true,
            reselect_neighbours: true,
            flush_at: None,
            ticks: 0,
            list_refresh: Arc::default(),
            stopped: options.stopped.clone(),
        })
    }

    async fn run(mut self, mut queue: mpsc::Receiver<SpreadEvent>, leaving: CancellationToken) {
        let stopped = self.stopped.clone();
        let mut ticks = time::interval(self.tick_interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut leave_announced = false;
        loop {
            tokio::select! {
                () = stopped.cancelled() => return,
                () = leaving.cancelled(), if !leave_announced => {
                    leave_announced = true;
                    self.tracker.leave();
                    self.flush();
                }
                _ = ticks.tick() => self.tick(),
                () = wait_until(self.flush_at) => self.flush(),
                event = queue.recv() => {
                    let Some(event) = event else {
                        return;
                    };
                    self.handle(event);
                }
            }
            if self.flush_at.is_none() && (self.state_changed || self.tracker.has_changed_records())
            {
                self.flush_at = Some(time::Instant::now() + FLUSH_DELAY);
            }
        }
    }

    fn tick(&mut self) {
        self.tracker.tick(Instant::now());
        self.outputs.update_traffic(self.links.traffic());
        if self.links.is_empty() {
            self.list_refresh.notify_one();
        }
        if std::mem::take(&mut self.reselect_neighbours) {
            self.connect_neighbours();
        }
        self.retry_pull();
        self.send_changed_revisions();
        self.probe_dead_member();
    }

    /// Every [`PROBE_INTERVAL_TICKS`], tries to reach a random dead member that is still listed, so
    /// that the two sides of a network partition reconnect once it has healed.
    fn probe_dead_member(&mut self) {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(PROBE_INTERVAL_TICKS) {
            return;
        }
        let dead = self.tracker.listed_dead_members();
        if dead.is_empty() {
            return;
        }
        let chosen = rand::random_range(0..dead.len());
        let view = self.outputs.members.borrow().clone();
        self.links.probe(&dead[chosen], &view);
    }

    /// Sends the neighbours each change of the revision that some member has in force. These
    /// changes are less urgent than changes of member records, and are sent only once a tick.
    fn send_changed_revisions(&mut self) {
        for (revision, records) in self.tracker.take_changed_revisions() {
            for part in records.chunks(MAX_FRAME_FINGERPRINTS) {
                let records = part.to_vec();
                let frame = RevisionNews { revision, records };
                self.links.send_all(&Body::RevisionNews(frame));
            }
        }
    }

    fn handle(&mut self, event: SpreadEvent) {
        let is_frame = matches!(event, SpreadEvent::Frame(..));
        self.state_changed |= !is_frame;
        self.reselect_neighbours |= !is_frame;
        match event {
            SpreadEvent::Accepted(link) => match self.links.add_accepted(*link) {
                Some(id) => self.send_state(id),
                None => self.outputs.refused_links.inc(),
            },
            SpreadEvent::Opened(instance, link) => {
                if let Some(id) = self.links.add_opened(&instance, *link) {
                    self.send_state(id);
                }
            }
            SpreadEvent::OpenFailed(instance) => {
                if let Some(began) = self.links.remove_failed(&instance) {
                    self.tracker
                        .connect_failed(&instance, began, Instant::now());
                }
            }
            SpreadEvent::Frame(id, body) => self.handle_frame(id, *body),
            SpreadEvent::Closed(id) => {
                self.links.remove(id);
            }
            SpreadEvent::Listed(reading) => self.handle_list(reading),
            SpreadEvent::TableRead(Some(config)) => {
                let blob = store::encode(&config);
                let bytes = self.outputs.platform_bytes.with_label_values(&["table"]);
                bytes.inc_by(blob.body.len() as u64);
                self.apply(blob, *config, ConfigSource::Table);
            }
            SpreadEvent::Committed(config) => {
                self.apply(store::encode(&config), *config, ConfigSource::Table);
            }
            SpreadEvent::TableRead(None) => self.set_config_known(),
        }
    }

    fn handle_list(&mut self, reading: ListSnapshot) {
        self.outputs.skipped_rows.inc_by(reading.skipped);
        let bytes = self.outputs.platform_bytes.with_label_values(&["list"]);
        bytes.inc_by(reading.bytes as u64);
        self.tracker.listed(reading.members, Instant::now());
    }

    /// Sends the complete state to a new neighbour: an offer of the configuration in force and the
    /// member records.
    fn send_state(&mut self, id: LinkId) {
        if let Some(offer) = self.offer_frame() {
            self.links.send(id, offer);
        }
        let records: Vec<&MemberRecord> = self.tracker.records().collect();
        for part in records.chunks(MAX_FRAME_RECORDS) {
            let records = part.iter().copied().map(Into::into).collect();
            let frame = MemberNews { records };
            self.links.send(id, Body::MemberNews(frame));
        }
    }

    /// Handles a frame of a neighbour; closes the link if the frame is of a type that carries
    /// neither configuration nor membership.
    fn handle_frame(&mut self, id: LinkId, body: Body) {
        match body {
            Body::ConfigOffer(offer) => self.handle_offer(id, &offer),
            Body::ConfigPull(pull) => self.handle_pull(id, pull.known_revision),
            Body::ConfigBody(body) => self.handle_body(body),
            Body::MemberNews(news) => {
                let now = Instant::now();
                for record in news.records {
                    let Some(record) = convert::read_record(record) else {
                        continue;
                    };
                    self.tracker.apply_record(record, now);
                }
            }
            Body::RevisionNews(news) => {
                for record in news.records {
                    self.state_changed |= self.tracker.apply_revision(record, news.revision);
                }
            }
            _ => self.links.close(id),
        }
    }

    /// Chooses the neighbours anew, and opens and closes links accordingly.
    fn connect_neighbours(&mut self) {
        let view = self.tracker.view();
        let config = self.outputs.config.borrow().clone();
        let own = &self.tracker.own().member.instance;
        let neighbours = overlay::neighbours(own, &view, &config.data_centres);
        self.links.connect_to(neighbours, &view);
    }

    /// Sends the changed member records to all neighbours, and publishes the members and the state
    /// to the other components of this process.
    fn flush(&mut self) {
        self.flush_at = None;
        self.state_changed = false;
        loop {
            let records = self.tracker.take_changed_records(MAX_FRAME_RECORDS);
            if records.is_empty() {
                break;
            }
            let own = &self.tracker.own().member.instance;
            // If another member has changed, the instance list has probably changed, too.
            if records.iter().any(|record| record.member.instance != *own) {
                self.list_refresh.notify_one();
            }
            let records = records.iter().map(Into::into).collect();
            self.links
                .send_all(&Body::MemberNews(MemberNews { records }));
        }
        let view = self.tracker.view();
        self.reselect_neighbours |= self.outputs.members.send_if_modified(|published| {
            let changed = **published != view;
            if changed {
                *published = Arc::new(view);
            }
            changed
        });
        self.publish();
    }

    /// Publishes the state of the spread to the other components of this process.
    fn publish(&self) {
        self.outputs.publish(SpreadState {
            revision: self.selector.revision(),
            linked: self.links.peers(),
            counts: self.selector.counts(),
            records: self.tracker.records().cloned().collect(),
        });
    }

    /// Sends the frame `body`, unless it is `None`, on the link `id`.
    pub(super) fn reply(&self, id: LinkId, body: Option<Body>) {
        if let Some(body) = body {
            self.links.send(id, body);
        }
    }
}

/// Waits until `instant`; never completes if it is `None`.
async fn wait_until(instant: Option<time::Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
