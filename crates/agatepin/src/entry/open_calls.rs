//! Calls waiting for answers from agents. Frames are matched to them by request id; frames that
//! match none are recorded as late replies.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agatepin_core::ids::{CustomerId, IncarnationId, InstanceId, RequestId, SessionId};
use serde::Serialize;
use tokio::sync::mpsc;

use super::metrics::EntryMetrics;
use crate::wire::frames::{
    AnswerFailed, AnswerHead, AnswerTrailer, CallFate, CallRefused, frame::Body,
};

/// Maximum number of late replies that are retained for `/dump`; older ones are discarded.
pub const MAX_LATE_REPLIES: usize = 256;

/// Maximum number of ended calls whose customer is remembered, so that late replies can be recorded
/// with their customer.
const MAX_ENDED_CALLS: usize = 4096;
/// Maximum number of received frames queued for one call; beyond it the call fails.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Customer recorded for late replies whose customer cannot be determined.
const UNKNOWN_CUSTOMER: &str = "unknown";

/// A frame received for an open call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// Status and headers of the answer.
    Head(AnswerHead),
    /// A part of the answer's body.
    Body(bytes::Bytes),
    /// The end of the answer, with its length and digest.
    Trailer(AnswerTrailer),
    /// The agent refused the call without executing it.
    Refused(Box<CallRefused>),
    /// The call failed at the upstream.
    Failed(AnswerFailed),
    /// The status of an attempt, in answer to a query.
    Status(CallFate),
}

/// Identifies one connection to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkId {
    /// Instance name of the agent.
    pub instance: InstanceId,
    /// Number of the connection attempt to the agent, counted from 1.
    pub session: SessionId,
}

/// A frame that belongs to no open call.
#[derive(Clone, Debug, Serialize)]
pub struct LateReply {
    /// Number of the request.
    pub request: u64,
    /// Incarnation of the entry that sent the request.
    pub entry_incarnation: IncarnationId,
    /// Customer that made the call; `unknown` if that cannot be determined.
    pub customer: CustomerId,
    /// Agent that sent the frame.
    pub agent: InstanceId,
}

/// An open call as shown in `/dump`.
#[derive(Clone, Debug, Serialize)]
pub struct OpenCallDump {
    /// Number of the request.
    pub request: u64,
    /// Customer that made the call.
    pub customer: CustomerId,
    /// Agent that the call was sent to.
    pub agent: InstanceId,
}

#[derive(Debug)]
struct OpenCall {
    customer: CustomerId,
    /// Link over which the call is sent.
    link: LinkId,
    /// Passes received frames to the [`CallGuard`] of the call.
    events: mpsc::Sender<CallEvent>,
}

#[derive(Debug, Default)]
struct CallTable {
    /// Request number of the call opened last.
    last_number: u64,
    /// Open calls by request number.
    open_calls: HashMap<u64, OpenCall>,
    /// Numbers and customers of the calls that ended last.
    ended_calls: VecDeque<(u64, CustomerId)>,
    /// Late replies, oldest first, at most [`MAX_LATE_REPLIES`].
    late_replies: VecDeque<LateReply>,
}

/// The open calls of one entry; clones share them.
#[derive(Clone, Debug)]
pub struct OpenCalls {
    /// Incarnation of this entry, part of the request ids.
    incarnation: IncarnationId,
    metrics: EntryMetrics,
    table: Arc<Mutex<CallTable>>,
}

impl OpenCalls {
    /// Creates an empty table. `incarnation` tells the restarts of this entry apart.
    #[must_use]
    pub fn new(incarnation: IncarnationId, metrics: EntryMetrics) -> Self {
        Self {
            incarnation,
            metrics,
            table: Arc::default(),
        }
    }

    /// Registers a call that is about to be sent over `link`.
    #[must_use]
    pub fn open(&self, customer: &str, link: LinkId) -> CallGuard {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let mut table = self.lock();
        table.last_number += 1;
        let number = table.last_number;
        let call = OpenCall {
            customer: customer.to_owned(),
            link,
            events: sender,
        };
        table.open_calls.insert(number, call);
        CallGuard {
            calls: self.clone(),
            id: RequestId {
                entry: self.incarnation,
                number,
            },
            events,
        }
    }

    /// Passes a frame received on `link` to the call that it belongs to, or records it as a late
    /// reply.
    pub fn deliver(&self, link: &LinkId, body: Body) {
        let Some((id, event)) = into_event(body) else {
            return;
        };
        let mut table = self.lock();
        if id.entry == self.incarnation
            && let Some(call) = table.open_calls.get(&id.number)
            && call.link == *link
            && customer_matches(&event, &call.customer)
        {
            let is_last = !matches!(event, CallEvent::Head(_) | CallEvent::Body(_));
            let sent = call.events.try_send(event);
            if is_last || sent.is_err() {
                // The queue is full if the caller reads too slowly: the call then fails.
                table.end(id.number);
            }
            return;
        }
        let customer = table.affected_customer(id, self.incarnation, &event);
        self.metrics.count_late_reply(&customer);
        if table.late_replies.len() >= MAX_LATE_REPLIES {
            table.late_replies.pop_front();
        }
        table.late_replies.push_back(LateReply {
            request: id.number,
            entry_incarnation: id.entry,
            customer,
            agent: link.instance.clone(),
        });
    }

    /// Ends every call on a link that was lost.
    pub fn end_calls_on(&self, link: &LinkId) {
        let mut table = self.lock();
        let lost: Vec<u64> = table
            .open_calls
            .iter()
            .filter(|(_, call)| call.link == *link)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            table.end(number);
        }
    }

    /// Returns the most recent late replies, oldest first.
    #[must_use]
    pub fn late_replies(&self) -> Vec<LateReply> {
        self.lock().late_replies.iter().cloned().collect()
    }

    /// Returns the open calls.
    #[must_use]
    pub fn dump(&self) -> Vec<OpenCallDump> {
        let table = self.lock();
        let calls = table.open_calls.iter().map(|(number, call)| OpenCallDump {
            request: *number,
            customer: call.customer.clone(),
            agent: call.link.instance.clone(),
        });
        calls.collect()
    }

    fn lock(&self) -> MutexGuard<'_, CallTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallTable {
    fn end(&mut self, number: u64) {
        let Some(call) = self.open_calls.remove(&number) else {
            return;
        };
        if self.ended_calls.len() >= MAX_ENDED_CALLS {
            self.ended_calls.pop_front();
        }
        self.ended_calls.push_back((number, call.customer));
    }

    /// Returns the customer whose call a late reply belongs to; `unknown` if that cannot be
    /// determined.
    fn affected_customer(
        &self,
        id: RequestId,
        incarnation: IncarnationId,
        event: &CallEvent,
    ) -> CustomerId {
        if let CallEvent::Head(head) = event
            && !head.customer.is_empty()
        {
            return head.customer.clone();
        }
        let same =
            |reply: &&LateReply| reply.request == id.number && reply.entry_incarnation == id.entry;
        // Of an answer's frames, only the head contains the customer. The customer of a later frame
        // is that of an earlier late reply to the same request.
        if let Some(head) = self.late_replies.iter().rev().find(same) {
            return head.customer.clone();
        }
        if id.entry != incarnation {
            return UNKNOWN_CUSTOMER.to_owned();
        }
        if let Some(call) = self.open_calls.get(&id.number) {
            return call.customer.clone();
        }
        self.ended_calls
            .iter()
            .rev()
            .find(|(number, _)| *number == id.number)
            .map_or_else(|| UNKNOWN_CUSTOMER.to_owned(), |(_, name)| name.clone())
    }
}

/// Handle to an open call. Once it is dropped, further replies to the call count as late.
#[derive(Debug)]
pub struct CallGuard {
    calls: OpenCalls,
    /// Id of the request, which the agent repeats in every frame that answers it.
    pub id: RequestId,
    events: mpsc::Receiver<CallEvent>,
}

impl CallGuard {
    /// Receives the next frame; returns `None` once the call has ended or its link is lost.
    pub async fn recv(&mut self) -> Option<CallEvent> {
        self.events.recv().await
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.calls.lock().end(self.id.number);
    }
}

fn customer_matches(event: &CallEvent, customer: &str) -> bool {
    match event {
        CallEvent::Head(head) => head.customer.is_empty() || head.customer == customer,
        _ => true,
    }
}

fn into_event(body: Body) -> Option<(RequestId, CallEvent)> {
    let (id, event) = match body {
        Body::AnswerHead(head) => (head.id, CallEvent::Head(head)),
        Body::AnswerBody(body) => (body.id, CallEvent::Body(body.data)),
        Body::AnswerTrailer(trailer) => (trailer.id, CallEvent::Trailer(trailer)),
        Body::CallRefused(refused) => (refused.id, CallEvent::Refused(Box::new(refused))),
        Body::AnswerFailed(failed) => (failed.id, CallEvent::Failed(failed)),
        Body::CallFate(status) => (status.id, CallEvent::Status(status)),
        _ => return None,
    };
    Some((id?.into(), event))
}
