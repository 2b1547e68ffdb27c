//! The configuration in force: offers, bodies and what follows from them.

use std::sync::Arc;
use std::time::Instant;

use agatepin_core::config::ClusterConfig;
use agatepin_core::ids::{ContentDigest, RevisionId};
use agatepin_core::spread::{ApplyOutcome, ConfigBlob, ConfigSource, OfferOutcome};

use super::runtime::{LinkId, SpreadTask};
use crate::store;
use crate::wire::frames::{ConfigBody, ConfigOffer, ConfigPull, frame::Body};

impl SpreadTask {
    pub(super) fn take_offer(&mut self, id: LinkId, offer: &ConfigOffer) {
        let Some(digest) = ContentDigest::from_slice(&offer.digest) else {
            self.links.close(id);
            return;
        };
        let reply = match self.selector.on_offer(offer.revision, digest) {
            OfferOutcome::Pull => {
                let now = Instant::now();
                let asks = self.pulls.on_offer(id, offer.revision, now);
                asks.then(|| self.pull())
            }
            OfferOutcome::OfferOurs => self.offer(),
            OfferOutcome::Same | OfferOutcome::Anomaly => None,
        };
        self.reply(id, reply);
    }

    /// Asks the next neighbour that offered the body which is under way for too long.
    pub(super) fn pull_again(&mut self) {
        if let Some(id) = self.pulls.next_after_timeout(Instant::now()) {
            let pull = self.pull();
            self.reply(id, Some(pull));
        }
    }

    fn pull(&self) -> Body {
        Body::ConfigPull(ConfigPull {
            known_revision: self.selector.revision(),
        })
    }

    pub(super) fn answer_pull(&self, id: LinkId, config_known: RevisionId) {
        let newer = self
            .selector
            .current()
            .filter(|blob| blob.revision > config_known);
        let reply = newer.map(|blob| {
            Body::ConfigBody(ConfigBody {
                revision: blob.revision,
                digest: blob.digest.as_bytes().to_vec().into(),
                body: blob.body.clone(),
            })
        });
        self.reply(id, reply);
    }

    pub(super) fn take_body(&mut self, frame: ConfigBody) {
        let Some(digest) = ContentDigest::from_slice(&frame.digest) else {
            return;
        };
        let Ok(config) = store::decode(frame.body.clone()) else {
            log::warn!(revision = frame.revision; "configuration of a peer cannot be decoded");
            return;
        };
        let blob = ConfigBlob {
            revision: frame.revision,
            digest,
            body: frame.body,
        };
        self.apply(blob, config, ConfigSource::Peer);
    }

    pub(super) fn apply(&mut self, blob: ConfigBlob, config: ClusterConfig, source: ConfigSource) {
        match self.selector.apply(blob, &config, source) {
            ApplyOutcome::InForce => self.put_in_force(config),
            ApplyOutcome::Refused(fault) => {
                log::warn!(revision = config.revision; "configuration refused: {fault:?}");
            }
            ApplyOutcome::Same | ApplyOutcome::Stale | ApplyOutcome::Anomaly => (),
        }
    }

    pub(super) fn put_in_force(&mut self, config: ClusterConfig) {
        self.changed = true;
        self.reconnect = true;
        log::info!(revision = config.revision; "configuration in force");
        self.pulls.in_force(config.revision);
        self.tracker.set_revision(config.revision);
        self.outputs.config.send_replace(Arc::new(config));
        self.set_known();
        if let Some(offer) = self.offer() {
            self.links.send_all(&offer);
        }
    }

    pub(super) fn set_known(&self) {
        self.outputs.config_known.send_if_modified(|config_known| {
            let changed = !*config_known;
            *config_known = true;
            changed
        });
    }

    pub(super) fn offer(&self) -> Option<Body> {
        let blob = self.selector.current()?;
        Some(Body::ConfigOffer(ConfigOffer {
            revision: blob.revision,
            digest: blob.digest.as_bytes().to_vec().into(),
        }))
    }
}
