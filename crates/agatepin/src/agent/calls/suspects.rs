//! Suspects at an agent: calls that run alone or are refused because their requests were in flight
//! when an upstream crashed.

use std::time::Instant;

use agatepin_core::gate::GateRefusal;
use agatepin_core::poison::SuspectAdmission;

use super::CallServer;
use crate::suspects;
use crate::wire::frames::{CallStart, SuspectNews, frame::Body};
use crate::wire::link::LinkSender;

impl CallServer {
    /// Records the suspects that an entry sent.
    pub(super) fn record_suspects(&self, news: SuspectNews) {
        let mut tracker = self.suspects.borrow_mut();
        suspects::record_crashes(&mut tracker, news, Instant::now());
    }

    /// Sends all known suspects to an entry whose link has opened.
    pub(super) fn send_suspects(&self, sender: &LinkSender) {
        let news = suspects::all_records(&self.suspects.borrow());
        if !news.records.is_empty() {
            // If the link has closed, the entry gets all suspects on its next link.
            let _ = sender.try_send(Body::SuspectNews(news));
        }
    }

    /// Records that `call` was in flight when the upstream crashed, and sends the suspect to all
    /// linked entries.
    pub(super) fn record_crash(&self, call: &CallStart) {
        let Some(key) = suspects::suspect_key(call) else {
            return;
        };
        let identity = &self.shared.context.identity;
        // The witness identifies this crash. An entry that reports the same crash uses the same
        // witness, so that the crash counts once.
        let alone = call.suspect.then(|| call.id.unwrap_or_default().into());
        let witness = suspects::witness(&identity.instance, identity.incarnation, alone);
        let news = {
            let mut tracker = self.suspects.borrow_mut();
            if !tracker.record_crashes(key.clone(), [witness], Instant::now()) {
                return;
            }
            suspects::record_of(&tracker, &key)
        };
        for sender in self.links.borrow().values() {
            // An entry whose link has closed gets all suspects when it opens a new one.
            let _ = sender.try_send(Body::SuspectNews(news.clone()));
        }
    }

    /// Refuses a call whose request has crashed too many upstreams, or a suspect that its entry did
    /// not mark as one. Before the refusal, sends the entry the record of the suspect.
    pub(super) fn check_suspect(
        &self,
        call: &CallStart,
        sender: &LinkSender,
    ) -> Result<(), GateRefusal> {
        let Some(key) = suspects::suspect_key(call) else {
            return Ok(());
        };
        let tracker = self.suspects.borrow();
        match tracker.admission(&key, Instant::now()) {
            SuspectAdmission::Unrestricted => return Ok(()),
            SuspectAdmission::RunAlone if call.suspect => return Ok(()),
            SuspectAdmission::RunAlone | SuspectAdmission::Refuse => (),
        }
        let news = suspects::record_of(&tracker, &key);
        // If the record is lost, the entry tries another agent, which knows the suspect, too.
        let _ = sender.try_send(Body::SuspectNews(news));
        Err(GateRefusal::Suspect)
    }
}
