//! Links to the peers: the other agents that this agent exchanges chunks with.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use agatepin_core::ids::InstanceId;
use tokio::sync::mpsc;

use super::distributor::DistributionEvent;
use crate::agent::shared::AgentShared;
use crate::wire::frames::{LinkPurpose, frame::Body};
use crate::wire::link::{self, LinkReceiver, LinkSender, PeerLink, ProcessIdentity};

/// Number of a link, unique in this process. It tells apart successive links to the same peer.
pub(super) type LinkNumber = u64;

/// An open link to a peer.
#[derive(Debug)]
pub(super) struct OpenLink {
    /// Tells the link apart from earlier and later ones to the same peer.
    pub(super) number: LinkNumber,
    /// Identity of the peer.
    pub(super) peer: ProcessIdentity,
    /// Sends frames to the peer.
    pub(super) sender: LinkSender,
    /// Whether this agent, not the peer, opened the link.
    outgoing: bool,
}

/// The open links, at most one per peer.
#[derive(Debug)]
pub(super) struct LinkTable {
    shared: Arc<AgentShared>,
    events: mpsc::Sender<DistributionEvent>,
    links: BTreeMap<InstanceId, OpenLink>,
    /// Peers to which a link is being opened.
    dialing_peers: BTreeSet<InstanceId>,
    /// Number given to the latest link or attempt to open a link; 0 before the first.
    last_number: LinkNumber,
}

impl LinkTable {
    pub(super) fn new(shared: Arc<AgentShared>, events: mpsc::Sender<DistributionEvent>) -> Self {
        Self {
            shared,
            events,
            links: BTreeMap::new(),
            dialing_peers: BTreeSet::new(),
            last_number: 0,
        }
    }

    /// Returns the open link to `instance` if it has this number.
    pub(super) fn get(&self, instance: &str, number: LinkNumber) -> Option<&OpenLink> {
        let link = self.links.get(instance)?;
        (link.number == number).then_some(link)
    }

    /// Sends a frame to a peer. Returns `false` if the peer is not linked or its send queue is
    /// full.
    pub(super) fn send(&self, instance: &str, body: Body) -> bool {
        let link = self.links.get(instance);
        link.is_some_and(|link| link.sender.try_send(body).is_ok())
    }

    /// Sends a frame to all linked peers.
    pub(super) fn broadcast(&self, body: &Body) {
        for link in self.links.values() {
            // A peer whose send queue is full misses this frame, but gets the next inventory.
            let _ = link.sender.try_send(body.clone());
        }
    }

    /// Starts to open a link to `instance`, unless there is one or one is being opened. The attempt
    /// ends with [`DistributionEvent::Dialed`].
    pub(super) fn dial(&mut self, instance: &str, address: SocketAddr) {
        if self.links.contains_key(instance) || !self.dialing_peers.insert(instance.to_owned()) {
            return;
        }
        self.last_number += 1;
        let session = self.last_number;
        let shared = self.shared.clone();
        let events = self.events.clone();
        let instance = instance.to_owned();
        tokio::spawn(async move {
            let context = &shared.context;
            let purpose = LinkPurpose::Chunks;
            let dialed = link::connect(
                address,
                &context.identity,
                purpose,
                session,
                &context.policy,
            )
            .await;
            let event = DistributionEvent::Dialed {
                instance,
                link: dialed.ok().map(Box::new),
            };
            let _ = events.send(event).await;
        });
    }

    /// Records that the attempt to open a link to `instance` has ended.
    pub(super) fn dial_ended(&mut self, instance: &str) {
        self.dialing_peers.remove(instance);
    }

    /// Adds a link that was opened, and starts to read frames from it. If there is a link to the
    /// same process already, both ends keep the one that was opened by the agent whose name sorts
    /// first. Returns `false` if the new link is dropped.
    pub(super) fn add(&mut self, link: PeerLink, outgoing: bool) -> bool {
        let instance = link.peer.instance.clone();
        if let Some(existing) = self.links.get(&instance) {
            let same_process = existing.peer.incarnation == link.peer.incarnation;
            let prefer_outgoing = self.shared.context.identity.instance < instance;
            let keeps_existing =
                !existing.sender.is_closed() && existing.outgoing == prefer_outgoing;
            if same_process && keeps_existing && outgoing != prefer_outgoing {
                return false;
            }
            existing.sender.close();
        }
        self.last_number += 1;
        let number = self.last_number;
        let reading = read_frames(instance.clone(), number, link.receiver, self.events.clone());
        tokio::spawn(reading);
        let open = OpenLink {
            number,
            peer: link.peer,
            sender: link.sender,
            outgoing,
        };
        self.links.insert(instance, open);
        true
    }

    /// Removes a link that has closed. Returns `false` if a newer link to the peer has replaced it.
    pub(super) fn remove(&mut self, instance: &str, number: LinkNumber) -> bool {
        if self.get(instance, number).is_none() {
            return false;
        }
        self.links.remove(instance);
        true
    }
}

impl Drop for LinkTable {
    fn drop(&mut self) {
        for link in self.links.values() {
            link.sender.close();
        }
    }
}

async fn read_frames(
    instance: InstanceId,
    number: LinkNumber,
    mut receiver: LinkReceiver,
    events: mpsc::Sender<DistributionEvent>,
) {
    while let Some(body) = receiver.recv().await {
        let event = DistributionEvent::Frame {
            instance: instance.clone(),
            number,
            body: Box::new(body),
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
    let _ = events
        .send(DistributionEvent::Closed { instance, number })
        .await;
}
