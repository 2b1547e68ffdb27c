//! Suspects at an agent: which calls must run alone or not at all.

use std::time::Instant;

use agatepin_core::gate::GateRefusal;
use agatepin_core::poison::SuspectAdmission;

use super::CallServer;
use crate::suspects;
use crate::wire::frames::{CallStart, SuspectNews, frame::Body};
use crate::wire::link::LinkSender;

impl CallServer {
    /// Takes suspects from an entry.
    pub(super) fn learn_suspects(&self, news: SuspectNews) {
        let mut tracker = self.suspects.borrow_mut();
        suspects::record_crashes(&mut tracker, news, Instant::now());
    }

    /// Tells an entry whose link has opened which suspects are known.
    pub(super) fn tell_suspects(&self, sender: &LinkSender) {
        let news = suspects::news(&self.suspects.borrow());
        if !news.records.is_empty() {
            // A link that has closed needs no news.
            let _ = sender.try_send(Body::SuspectNews(news));
        }
    }

    /// Notes that `call` was in flight at a crash of the upstream, and tells all entries.
    pub(super) fn suspect(&self, call: &CallStart) {
        let Some(key) = suspects::key_of(call) else {
            return;
        };
        let identity = &self.shared.context.identity;
        let alone = call.suspect.then(|| call.id.unwrap_or_default().into());
        let witness = suspects::witness(&identity.instance, identity.incarnation, alone);
        let news = {
            let mut tracker = self.suspects.borrow_mut();
            if !tracker.record_crashes(key.clone(), [witness], Instant::now()) {
                return;
            }
            suspects::news_of(&tracker, &key)
        };
        for sender in self.links.borrow().values() {
            // A link that has closed gets all suspects when it opens again.
            let _ = sender.try_send(Body::SuspectNews(news.clone()));
        }
    }

    /// Refuses a call that is known to crash upstreams, or that its entry does not know as a
    /// suspect; the entry is told first.
    pub(super) fn check_suspect(
        &self,
        call: &CallStart,
        sender: &LinkSender,
    ) -> Result<(), GateRefusal> {
        let Some(key) = suspects::key_of(call) else {
            return Ok(());
        };
        let tracker = self.suspects.borrow();
        match tracker.admission(&key, Instant::now()) {
            SuspectAdmission::Unrestricted => return Ok(()),
            SuspectAdmission::RunAlone if call.suspect => return Ok(()),
            SuspectAdmission::RunAlone | SuspectAdmission::Refuse => (),
        }
        let news = suspects::news_of(&tracker, &key);
        // Without the news the entry tries elsewhere, where the suspect is known, too.
        let _ = sender.try_send(Body::SuspectNews(news));
        Err(GateRefusal::Suspect)
    }
}
