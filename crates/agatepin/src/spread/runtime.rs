//! The task that owns the spread of one process.

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

const QUEUE_EVENTS: usize = 1024;
const NEWS_RECORDS: usize = 64;
const NEWS_REVISIONS: usize = 1024;
const FLUSH_DELAY: Duration = Duration::from_millis(50);
const PROBE_TICKS: u64 = 8;
const REFUTE_HEARTBEATS: u32 = 10;
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Number of a link within one process.
pub(super) type LinkId = u64;

/// What the task reacts to.
#[derive(Debug)]
pub(super) enum SpreadEvent {
    Accepted(Box<PeerLink>),
    Opened(InstanceId, Box<PeerLink>),
    OpenFailed(InstanceId),
    Frame(LinkId, Box<Body>),
    Closed(LinkId),
    Listed(ListSnapshot),
    TableRead(Option<Box<ClusterConfig>>),
    Committed(Box<ClusterConfig>),
}

#[derive(Debug)]
pub(super) struct SpreadTask {
    pub(super) selector: ConfigSelector,
    pub(super) tracker: MemberTracker,
    pub(super) links: NeighbourLinks,
    pub(super) outputs: SpreadOutputs,
    pub(super) tick_interval: Duration,
    pub(super) pulls: PullTracker<LinkId>,
    /// Something besides the records has changed since the last flush.
    pub(super) changed: bool,
    /// The neighbours are to be chosen again.
    pub(super) reconnect: bool,
    pub(super) flush_at: Option<time::Instant>,
    pub(super) ticks: u64,
    /// Asks for the instance list, as it has probably changed.
    pub(super) list_hints: Arc<Notify>,
    pub(super) stopped: CancellationToken,
}

pub(super) fn start<Store>(
    options: SpreadOptions<Store>,
    accepted: mpsc::UnboundedReceiver<PeerLink>,
) -> Result<SpreadHandle, prometheus::Error>
where
    Store: TableStore,
{
    let (events, queue) = mpsc::channel(QUEUE_EVENTS);
    let task = SpreadTask::new(&options, events.clone())?;
    let handle = SpreadHandle {
        config: task.outputs.config.subscribe(),
        members: task.outputs.members.subscribe(),
        config_known: task.outputs.config_known.subscribe(),
        state: task.outputs.state.subscribe(),
        events: events.clone(),
    };
    let stopped = options.stopped;
    tokio::spawn(links::accept(accepted, events.clone()));
    tokio::spawn(platform::read_table(
        options.store,
        options.table_interval,
        events.clone(),
        stopped.clone(),
    ));
    tokio::spawn(platform::read_instances(
        options.instances,
        options.list_interval,
        task.list_hints.clone(),
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
            suspicion_timeout: options.policy.heartbeat.interval * REFUTE_HEARTBEATS,
            forget_after: FORGET_AFTER,
        };
        Ok(Self {
            selector: ConfigSelector::default(),
            tracker: MemberTracker::new(own, policy),
            links: NeighbourLinks::new(options, events),
            outputs: SpreadOutputs::new(&options.registry)?,
            tick_interval: options.policy.heartbeat.interval,
            pulls: PullTracker::default(),
            changed: true,
            reconnect: true,
            flush_at: None,
            ticks: 0,
            list_hints: Arc::default(),
            stopped: options.stopped.clone(),
        })
    }

    async fn run(mut self, mut queue: mpsc::Receiver<SpreadEvent>, leaving: CancellationToken) {
        let stopped = self.stopped.clone();
        let mut ticks = time::interval(self.tick_interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut left = false;
        loop {
            tokio::select! {
                () = stopped.cancelled() => return,
                () = leaving.cancelled(), if !left => {
                    left = true;
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
            if self.flush_at.is_none() && (self.changed || self.tracker.has_changed_records()) {
                self.flush_at = Some(time::Instant::now() + FLUSH_DELAY);
            }
        }
    }

    fn tick(&mut self) {
        self.tracker.tick(Instant::now());
        self.outputs.count_traffic(self.links.traffic());
        if self.links.is_empty() {
            self.list_hints.notify_one();
        }
        if std::mem::take(&mut self.reconnect) {
            self.connect_neighbours();
        }
        self.pull_again();
        self.send_revisions();
        self.probe_lost();
    }

    /// Tries now and then to reach a dead member that the list still names, so that regions that
    /// were cut from each other meet again.
    fn probe_lost(&mut self) {
        self.ticks += 1;
        if !self.ticks.is_multiple_of(PROBE_TICKS) {
            return;
        }
        let lost = self.tracker.listed_dead_members();
        if lost.is_empty() {
            return;
        }
        let chosen = rand::random_range(0..lost.len());
        let view = self.outputs.members.borrow().clone();
        self.links.probe(&lost[chosen], &view);
    }

    /// Tells the revisions in force in other processes with less urgency than all else.
    fn send_revisions(&mut self) {
        for (revision, records) in self.tracker.take_changed_revisions() {
            for part in records.chunks(NEWS_REVISIONS) {
                let records = part.to_vec();
                let news = RevisionNews { revision, records };
                self.links.send_all(&Body::RevisionNews(news));
            }
        }
    }

    fn handle(&mut self, event: SpreadEvent) {
        let from_link = matches!(event, SpreadEvent::Frame(..));
        self.changed |= !from_link;
        self.reconnect |= !from_link;
        match event {
            SpreadEvent::Accepted(link) => match self.links.accept(*link) {
                Some(id) => self.greet(id),
                None => self.outputs.refused_links.inc(),
            },
            SpreadEvent::Opened(instance, link) => {
                if let Some(id) = self.links.opened(&instance, *link) {
                    self.greet(id);
                }
            }
            SpreadEvent::OpenFailed(instance) => {
                if let Some(began) = self.links.open_failed(&instance) {
                    self.tracker
                        .connect_failed(&instance, began, Instant::now());
                }
            }
            SpreadEvent::Frame(id, body) => self.take_frame(id, *body),
            SpreadEvent::Closed(id) => {
                self.links.remove(id);
            }
            SpreadEvent::Listed(reading) => self.take_list(reading),
            SpreadEvent::TableRead(Some(config)) => {
                let blob = store::encode(&config);
                let bytes = self.outputs.platform_bytes.with_label_values(&["table"]);
                bytes.inc_by(blob.body.len() as u64);
                self.apply(blob, *config, ConfigSource::Table);
            }
            SpreadEvent::Committed(config) => {
                self.apply(store::encode(&config), *config, ConfigSource::Table);
            }
            SpreadEvent::TableRead(None) => self.set_known(),
        }
    }

    fn take_list(&mut self, reading: ListSnapshot) {
        self.outputs.skipped_rows.inc_by(reading.skipped);
        let bytes = self.outputs.platform_bytes.with_label_values(&["list"]);
        bytes.inc_by(reading.bytes as u64);
        self.tracker.listed(reading.members, Instant::now());
    }

    /// Tells a new neighbour all that we know.
    fn greet(&mut self, id: LinkId) {
        if let Some(offer) = self.offer() {
            self.links.send(id, offer);
        }
        let records: Vec<&MemberRecord> = self.tracker.records().collect();
        for part in records.chunks(NEWS_RECORDS) {
            let records = part.iter().copied().map(Into::into).collect();
            let news = MemberNews { records };
            self.links.send(id, Body::MemberNews(news));
        }
    }

    fn take_frame(&mut self, id: LinkId, body: Body) {
        match body {
            Body::ConfigOffer(offer) => self.take_offer(id, &offer),
            Body::ConfigPull(pull) => self.answer_pull(id, pull.known_revision),
            Body::ConfigBody(body) => self.take_body(body),
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
                    self.changed |= self.tracker.apply_revision(record, news.revision);
                }
            }
            _ => self.links.close(id),
        }
    }

    fn connect_neighbours(&mut self) {
        let view = self.tracker.view();
        let config = self.outputs.config.borrow().clone();
        let own = &self.tracker.own().member.instance;
        let wanted = overlay::neighbours(own, &view, &config.data_centres);
        self.links.connect(wanted, &view);
    }

    /// Sends the news that gathered and publishes what has changed.
    fn flush(&mut self) {
        self.flush_at = None;
        self.changed = false;
        loop {
            let records = self.tracker.take_changed_records(NEWS_RECORDS);
            if records.is_empty() {
                break;
            }
            let own = &self.tracker.own().member.instance;
            if records.iter().any(|record| record.member.instance != *own) {
                self.list_hints.notify_one();
            }
            let records = records.iter().map(Into::into).collect();
            self.links
                .send_all(&Body::MemberNews(MemberNews { records }));
        }
        let view = self.tracker.view();
        self.reconnect |= self.outputs.members.send_if_modified(|config_known| {
            let changed = **config_known != view;
            if changed {
                *config_known = Arc::new(view);
            }
            changed
        });
        self.publish();
    }

    fn publish(&self) {
        self.outputs.publish(SpreadState {
            revision: self.selector.revision(),
            linked: self.links.peers(),
            counts: self.selector.counts(),
            records: self.tracker.records().cloned().collect(),
        });
    }

    pub(super) fn reply(&self, id: LinkId, body: Option<Body>) {
        if let Some(body) = body {
            self.links.send(id, body);
        }
    }
}

/// Waits until `instant`; for ever where there is none.
async fn wait_until(instant: Option<time::Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => std::future::pending().await,
    }
}
