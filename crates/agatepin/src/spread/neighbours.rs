//! The links of one process to its neighbours in the overlay, opened by either side.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use agatepin_core::ids::{InstanceId, SessionId};
use agatepin_core::member::MemberView;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::SpreadOptions;
use super::links::{self, LinkPlan};
use super::runtime::{LinkId, SpreadEvent};
use crate::wire::codec::TrafficCounts;
use crate::wire::frames::frame::Body;
use crate::wire::link::{LinkPolicy, LinkSender, PeerLink, ProcessIdentity};

/// Maximum number of links opened by other processes that a process keeps.
pub(super) const MAX_ACCEPTED_LINKS: usize = 128;

/// An open link to a peer, opened by either side.
#[derive(Debug)]
struct SpreadLink {
    /// Name of the process at the other end.
    peer: InstanceId,
    sender: LinkSender,
    /// Whether this process opened the link.
    outgoing: bool,
}

/// Open links to neighbours, and attempts to open further ones.
#[derive(Debug)]
pub(super) struct NeighbourLinks {
    /// Identity of this process, which it states on each link that it opens.
    identity: ProcessIdentity,
    /// Timeouts, limits and security of the links that this process opens.
    policy: LinkPolicy,
    /// Queue of the spread task, for opened links, failed attempts and received frames.
    events: mpsc::Sender<SpreadEvent>,
    /// Cancelled when the process stops.
    stopped: CancellationToken,
    /// Open links by their id.
    links: BTreeMap<LinkId, SpreadLink>,
    /// Start time of each attempt to open a link, by the instance that is connected to.
    attempt_starts: BTreeMap<InstanceId, Instant>,
    /// Id of the next link.
    next_link: LinkId,
    /// Session number of the next link that this process opens.
    next_session: SessionId,
    /// Total traffic of the links that have closed.
    closed_traffic: TrafficCounts,
}

impl NeighbourLinks {
    pub(super) fn new<Store>(
        options: &SpreadOptions<Store>,
        events: mpsc::Sender<SpreadEvent>,
    ) -> Self {
        Self {
            identity: options.identity.clone(),
            policy: options.policy.clone(),
            events,
            stopped: options.stopped.clone(),
            links: BTreeMap::new(),
            attempt_starts: BTreeMap::new(),
            next_link: 1,
            next_session: 1,
            closed_traffic: TrafficCounts::default(),
        }
    }

    /// Adds a link that a peer opened. Closes it and returns `None` if [`MAX_ACCEPTED_LINKS`] are
    /// open.
    pub(super) fn add_accepted(&mut self, link: PeerLink) -> Option<LinkId> {
        let accepted = self.links.values().filter(|link| !link.outgoing).count();
        if accepted >= MAX_ACCEPTED_LINKS {
            return None;
        }
        Some(self.add(link, false))
    }

    /// Adds a link that this process opened to `instance`. Closes it and returns `None` if another
    /// instance answered at that address.
    pub(super) fn add_opened(&mut self, instance: &str, link: PeerLink) -> Option<LinkId> {
        self.attempt_starts.remove(instance);
        if link.peer.instance != instance {
            return None;
        }
        Some(self.add(link, true))
    }

    /// Removes a failed attempt to reach `instance`. Returns the time at which the attempt began,
    /// or `None` if a link to the instance is open.
    pub(super) fn remove_failed(&mut self, instance: &str) -> Option<Instant> {
        let began = self.attempt_starts.remove(instance)?;
        let linked = self.links.values().any(|link| link.peer == instance);
        (!linked).then_some(began)
    }

    /// Removes a link that has closed.
    pub(super) fn remove(&mut self, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            self.closed_traffic += link.sender.traffic();
        }
    }

    /// Opens links to those of `neighbours` that are not linked, and closes the links that this
    /// process opened to other instances.
    pub(super) fn connect_to(&mut self, neighbours: Vec<InstanceId>, view: &MemberView) {
        for link in self.links.values() {
            if link.outgoing && !neighbours.contains(&link.peer) {
                link.sender.close();
            }
        }
        let linked: BTreeSet<&InstanceId> = self.links.values().map(|link| &link.peer).collect();
        let missing: Vec<InstanceId> = neighbours
            .into_iter()
            .filter(|name| !linked.contains(name) && !self.attempt_starts.contains_key(name))
            .collect();
        for instance in missing {
            self.open(instance, view);
        }
    }

    /// Opens a link to a member that is no neighbour, on which both sides exchange their state. The
    /// link closes when neighbours are next chosen, unless the member is then one of them.
    pub(super) fn probe(&mut self, instance: &str, view: &MemberView) {
        if !self.attempt_starts.contains_key(instance) {
            self.open(instance.to_owned(), view);
        }
    }

    fn open(&mut self, instance: InstanceId, view: &MemberView) {
        let Some(member) = view.find(&instance) else {
            return;
        };
        let plan = LinkPlan {
            instance: instance.clone(),
            address: member.wire,
            identity: self.identity.clone(),
            policy: self.policy.clone(),
            session: self.next_session,
        };
        self.next_session += 1;
        self.attempt_starts.insert(instance, Instant::now());
        tokio::spawn(links::open(plan, self.events.clone(), self.stopped.clone()));
    }

    /// Adds `link`, and starts the task that forwards its frames to the spread task. `outgoing`
    /// tells whether this process opened the link.
    fn add(&mut self, link: PeerLink, outgoing: bool) -> LinkId {
        let id = self.next_link;
        self.next_link += 1;
        tokio::spawn(links::forward_frames(
            id,
            link.receiver,
            self.events.clone(),
        ));
        let link = SpreadLink {
            peer: link.peer.instance,
            sender: link.sender,
            outgoing,
        };
        self.links.insert(id, link);
        id
    }

    /// Sends a frame on the link `id`, if it is still open.
    pub(super) fn send(&self, id: LinkId, body: Body) {
        if let Some(link) = self.links.get(&id) {
            send_or_close(&link.sender, body);
        }
    }

    /// Sends a frame on every link.
    pub(super) fn send_all(&self, body: &Body) {
        for link in self.links.values() {
            send_or_close(&link.sender, body.clone());
        }
    }

    pub(super) fn close(&self, id: LinkId) {
        if let Some(link) = self.links.get(&id) {
            link.sender.close();
        }
    }

    /// Names of the peers, one for each open link.
    pub(super) fn peers(&self) -> Vec<InstanceId> {
        self.links.values().map(|link| link.peer.clone()).collect()
    }

    /// Whether no link is open.
    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the traffic of all links, closed ones included, since the process started.
    pub(super) fn traffic(&self) -> TrafficCounts {
        let mut traffic = self.closed_traffic;
        for link in self.links.values() {
            traffic += link.sender.traffic();
        }
        traffic
    }
}

/// Sends `body`, or closes the link if its queue is full. The peer misses no change: a new link
/// begins with the complete state.
fn send_or_close(sender: &LinkSender, body: Body) {
    if sender.try_send(body).is_err() {
        sender.close();
    }
}
