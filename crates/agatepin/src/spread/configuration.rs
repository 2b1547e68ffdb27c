//! Exchange of configurations with neighbours: offers (revision and digest), pulls (requests for a
//! configuration) and bodies (encoded configurations).

use std::sync::Arc;
use std::time::Instant;

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::{ContentDigest, RevisionId};
use agatepin_core::spread::{ApplyOutcome, ConfigBlob, ConfigSource, OfferOutcome};

use super::runtime::{LinkId, SpreadTask};
use crate::store;
use crate::wire::frames::{ConfigBody, ConfigOffer, ConfigPull, frame::Body};

impl SpreadTask {
    /// Handles the offer of a neighbour: pulls the configuration if its revision is higher than the
    /// one in force, and answers a lower revision with an offer of the one in force. Closes the
    /// link if the digest is malformed.
    pub(super) fn handle_offer(&mut self, id: LinkId, offer: &ConfigOffer) {
        let Some(digest) = ContentDigest::from_slice(&offer.digest) else {
            self.links.close(id);
            return;
        };
        let reply = match self.selector.on_offer(offer.revision, digest) {
            OfferOutcome::Pull => {
                let now = Instant::now();
                let pull_now = self.pulls.on_offer(id, offer.revision, now);
                pull_now.then(|| self.pull_frame())
            }
            OfferOutcome::OfferOurs => self.offer_frame(),
            OfferOutcome::Same | OfferOutcome::Anomaly => None,
        };
        self.reply(id, reply);
    }

    /// If the neighbour that was asked for a higher revision has not answered in time, asks the
    /// next neighbour that offered that revision.
    pub(super) fn retry_pull(&mut self) {
        if let Some(id) = self.pulls.next_after_timeout(Instant::now()) {
            let pull = self.pull_frame();
            self.reply(id, Some(pull));
        }
    }

    fn pull_frame(&self) -> Body {
        Body::ConfigPull(ConfigPull {
            known_revision: self.selector.revision(),
        })
    }

    /// Answers a pull with the configuration in force if its revision is above `known_revision`.
    pub(super) fn handle_pull(&self, id: LinkId, known_revision: RevisionId) {
        let newer = self
            .selector
            .current()
            .filter(|blob| blob.revision > known_revision);
        let reply = newer.map(|blob| {
            Body::ConfigBody(ConfigBody {
                revision: blob.revision,
                digest: blob.digest.as_bytes().to_vec().into(),
                body: blob.body.clone(),
            })
        });
        self.reply(id, reply);
    }

    /// Applies the configuration that a neighbour sent; discards it if it is malformed.
    pub(super) fn handle_body(&mut self, frame: ConfigBody) {
        let Some(digest) = ContentDigest::from_slice(&frame.digest) else {
            return;
        };
        let Ok(config) = store::decode(frame.body.clone()) else {
            log::warn!(revision = frame.revision; "cannot decode configuration received from peer");
            return;
        };
        let blob = ConfigBlob {
            revision: frame.revision,
            digest,
            body: frame.body,
        };
        self.apply(blob, config, ConfigSource::Peer);
    }

    /// Puts `config`, which was decoded from `blob`, in force if the selector decides so; see
    /// [`ConfigSelector::apply`](agatepin_core::spread::ConfigSelector::apply).
    pub(super) fn apply(&mut self, blob: ConfigBlob, config: ClusterConfig, source: ConfigSource) {
        match self.selector.apply(blob, &config, source) {
            ApplyOutcome::InForce => self.put_in_force(config),
            ApplyOutcome::Refused(error) => {
                log::warn!(revision = config.revision; "refused to put configuration in force: {error:?}");
            }
            ApplyOutcome::Same | ApplyOutcome::Stale | ApplyOutcome::Anomaly => (),
        }
    }

    /// Publishes `config` as the configuration that this process acts on, and offers it to all
    /// neighbours.
    pub(super) fn put_in_force(&mut self, config: ClusterConfig) {
        self.state_changed = true;
        self.reselect_neighbours = true;
        // Records that this process acts on the configuration from now on.
        log::info!(revision = config.revision; "configuration in force");
        self.pulls.end_pull_up_to(config.revision);
        self.tracker.set_revision(config.revision);
        self.outputs.config.send_replace(Arc::new(config));
        self.set_config_known();
        if let Some(offer) = self.offer_frame() {
            self.links.send_all(&offer);
        }
    }

    /// Publishes that a configuration has been received, or that the table was read and has none.
    pub(super) fn set_config_known(&self) {
        self.outputs.config_known.send_if_modified(|known| {
            let changed = !*known;
            *known = true;
            changed
        });
    }

    /// Returns an offer of the configuration in force, if there is one.
    pub(super) fn offer_frame(&self) -> Option<Body> {
        let blob = self.selector.current()?;
        Some(Body::ConfigOffer(ConfigOffer {
            revision: blob.revision,
            digest: blob.digest.as_bytes().to_vec().into(),
        }))
    }
}
