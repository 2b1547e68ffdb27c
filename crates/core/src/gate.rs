//! Admission control for one upstream: which calls it receives, and how many at a time.
//!
//! Only the agent on the upstream's machine holds its gate, so that the count of calls in flight is
//! exact, however outdated the entries' view of the upstream is. The concurrency limit starts at
//! the cold limit and rises while the upstream answers quickly. A plain service is an upstream
//! that serves calls without weights.

use std::time::Duration;

use crate::ids::{ContentDigest, ModelId, VersionId};

key_type! {
    /// Stage of an upstream on the way from having no weights to serving them.
    pub enum GateStage {
        /// No weights are present.
        Absent,
        /// Chunks are being fetched.
        Fetching,
        /// All chunks are present, and their digests are verified.
        Verified,
        /// The engine is loading the weights.
        Loading,
        /// The engine serves the verified weights, or the upstream is a plain service.
        Serving,
        /// Calls in flight may finish; no new ones are admitted.
        Draining,
    }

    /// Why a call is not admitted. A refused call has not been executed.
    pub enum GateRefusal {
        /// The limit on calls in flight is reached, and is below the warm limit since the upstream
        /// is in a cold start.
        ColdLimit,
        /// The warm limit is reached.
        Full,
        /// The agent beside the upstream is shutting down.
        Leaving,
        /// The upstream does not serve verified weights now.
        NoWeights,
        /// The upstream does not serve the model or plain service that the call is for.
        OtherModel,
        /// The upstream's data centre is out of service.
        DataCentreOut,
        /// A call suspected of crashing upstreams (a suspect) runs or waits to run alone, or this
        /// call is a suspect and other calls are in flight.
        Suspect,
    }

    /// How an admitted call ended.
    pub enum CallEnd {
        /// The upstream answered the call.
        Answered,
        /// The upstream failed to answer the call.
        Failed,
        /// The caller cancelled the call.
        Cancelled,
    }
}

value_type! {
    /// Weights that the engine serves, as verified by the agent.
    pub struct ServedWeights {
        /// Model or adapter that is served.
        pub model: ModelId,
        /// Version of the model.
        pub version: VersionId,
        /// Digest of all bytes of the weights.
        pub digest: ContentDigest,
    }

    /// Concurrency limits of one upstream.
    #[derive(Copy)]
    pub struct GatePolicy {
        /// Maximum number of calls in flight during a cold start.
        pub cold_limit: u32,
        /// Maximum number of calls in flight once warm.
        pub warm_limit: u32,
        /// An answer whose first byte takes longer than this counts as slow, and the limit is not
        /// raised.
        pub slow_after: Duration,
    }
}

/// Whether an upstream reports a cold start; an upstream that reports nothing counts as warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportedState {
    Warm,
    Cold,
}

/// Which calls may be in flight at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GateSharing {
    /// Any calls.
    Shared,
    /// No further calls are admitted, except a suspect once no call is in flight.
    Reserved,
    /// A suspect is in flight; no other call is admitted.
    Exclusive,
}

/// Admission control of one upstream.
#[derive(Debug)]
pub struct UpstreamGate {
    policy: GatePolicy,
    stage: GateStage,
    /// Weights that were served last; `None` for a plain service and before the first weights.
    weights: Option<ServedWeights>,
    /// Whether the gate is closed permanently, since the agent is shutting down.
    leaving: bool,
    /// Whether the upstream's data centre is in service.
    in_service: bool,
    /// Maximum number of calls in flight now, from `cold_limit` to `warm_limit`.
    limit: u32,
    /// Number of calls in flight.
    in_flight: u32,
    sharing: GateSharing,
    reported_state: ReportedState,
    /// Highest number of calls in flight since the limit last changed.
    peak_in_flight: u32,
    /// Number of answers that were not slow since the calls in flight reached the limit; a slow
    /// answer resets this number to 0.
    quick_at_limit: u32,
    /// Number of consecutive slow answers.
    consecutive_slow: u32,
}

/// Number of consecutive slow answers after which the upstream is treated as cold.
const MAX_CONSECUTIVE_SLOW: u32 = 3;

impl UpstreamGate {
    /// Creates a gate in stage [`GateStage::Absent`], which admits no calls.
    #[must_use]
    pub fn new(policy: GatePolicy) -> Self {
        Self {
            policy,
            stage: GateStage::Absent,
            weights: None,
            leaving: false,
            in_service: true,
            limit: policy.cold_limit,
            in_flight: 0,
            sharing: GateSharing::Shared,
            reported_state: ReportedState::Warm,
            peak_in_flight: 0,
            quick_at_limit: 0,
            consecutive_slow: 0,
        }
    }

    /// Applies new limits from the configuration. The limit in force is only clamped to the new
    /// range, so that a cold upstream stays cold.
    pub fn set_policy(&mut self, policy: GatePolicy) {
        self.policy = policy;
        self.limit = self.limit.clamp(policy.cold_limit, policy.warm_limit);
    }

    /// Records whether the configuration has the data centre in service. The upstream counts as
    /// cold when its data centre returns to service.
    pub fn set_in_service(&mut self, in_service: bool) {
        if in_service && !self.in_service {
            self.turn_cold();
        }
        self.in_service = in_service;
    }

    /// Closes the gate permanently because the agent beside the upstream is shutting down.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Moves to a stage in which no calls are admitted. [`GateStage::Serving`] is entered only by
    /// [`Self::serve`].
    pub fn set_stage(&mut self, stage: GateStage) {
        debug_assert!(
            stage != GateStage::Serving,
            "call `serve` to enter the serving stage"
        );
        self.stage = stage;
    }

    /// Starts serving `weights`, or a plain service if `None`, with the cold limit.
    pub fn serve(&mut self, weights: Option<ServedWeights>) {
        self.stage = GateStage::Serving;
        self.weights = weights;
        self.turn_cold();
    }

    /// Records whether the upstream reports a cold start; while it does, its limit is not raised.
    pub fn report_cold(&mut self, cold: bool) {
        if !cold {
            self.reported_state = ReportedState::Warm;
            return;
        }
        if self.reported_state == ReportedState::Warm {
            self.turn_cold();
        }
        self.reported_state = ReportedState::Cold;
    }

    /// Records that a call has waited for the first byte of its answer longer than
    /// [`GatePolicy::slow_after`]. The call counts as a slow answer.
    pub fn record_overdue(&mut self) {
        self.record_slow_answer();
    }

    /// Resets the limit to the cold limit because the upstream is in a cold start.
    pub fn turn_cold(&mut self) {
        self.limit = self.policy.cold_limit;
        self.peak_in_flight = 0;
        self.quick_at_limit = 0;
        self.consecutive_slow = 0;
    }

    /// Admits a call for `model` (`None` for a plain service); `alone` tells whether the call, a
    /// suspect, may run only while no other call is in flight. Each admitted call must be released
    /// exactly once.
    ///
    /// # Errors
    /// The reason why the call is refused.
    pub fn try_admit(&mut self, model: Option<&str>, alone: bool) -> Result<(), GateRefusal> {
        if self.leaving {
            return Err(GateRefusal::Leaving);
        }
        if !self.in_service {
            return Err(GateRefusal::DataCentreOut);
        }
        if self.stage != GateStage::Serving {
            return Err(GateRefusal::NoWeights);
        }
        if self.served_model() != model {
            return Err(GateRefusal::OtherModel);
        }
        let sharing_allowed = match self.sharing {
            GateSharing::Shared => true,
            GateSharing::Reserved => alone,
            GateSharing::Exclusive => false,
        };
        if !sharing_allowed || (alone && self.in_flight > 0) {
            return Err(GateRefusal::Suspect);
        }
        if self.in_flight >= self.limit {
            return Err(self.limit_refusal());
        }
        self.in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight);
        if alone {
            self.sharing = GateSharing::Exclusive;
        }
        Ok(())
    }

    /// Stops admitting calls, except one suspect, until that suspect has ended or
    /// [`Self::unreserve`] is called. Returns `false` if the gate was reserved or used exclusively
    /// already.
    #[must_use]
    pub fn reserve(&mut self) -> bool {
        if self.sharing != GateSharing::Shared {
            return false;
        }
        self.sharing = GateSharing::Reserved;
        true
    }

    /// Whether the gate is neither reserved for a suspect nor running one.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        self.sharing == GateSharing::Shared
    }

    /// Cancels a reservation that no suspect has used.
    pub fn unreserve(&mut self) {
        if self.sharing == GateSharing::Reserved {
            self.sharing = GateSharing::Shared;
        }
    }

    /// Releases an admitted call that has ended. `first_byte` is the time until the first byte of
    /// its answer, `None` if the answer had no byte or the call has been counted by
    /// [`Self::record_overdue`].
    pub fn release(&mut self, end: CallEnd, first_byte: Option<Duration>) {
        debug_assert!(self.in_flight > 0, "released a call that was not admitted");
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.sharing == GateSharing::Exclusive {
            self.sharing = GateSharing::Shared;
        }
        match (end, first_byte) {
            (CallEnd::Failed, _) => self.turn_cold(),
            (CallEnd::Answered, Some(latency)) if latency <= self.policy.slow_after => {
                self.record_quick_answer();
            }
            (CallEnd::Answered, Some(_)) => self.record_slow_answer(),
            _ => (),
        }
    }

    /// Returns the configured limits.
    #[must_use]
    pub fn policy(&self) -> GatePolicy {
        self.policy
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the maximum number of calls in flight now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the limit for calls other than suspects: 0 while a suspect runs or waits to run.
    #[must_use]
    pub fn shared_limit(&self) -> u32 {
        if self.sharing == GateSharing::Shared {
            return self.limit;
        }
        0
    }

    /// Whether the limit is below that of a warm upstream.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.limit < self.policy.warm_limit
    }

    /// Whether the gate has been closed permanently.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> GateStage {
        self.stage
    }

    /// Returns the weights that are served while the stage is [`GateStage::Serving`]; `None` for a
    /// plain service.
    #[must_use]
    pub fn weights(&self) -> Option<&ServedWeights> {
        self.weights.as_ref()
    }

    fn served_model(&self) -> Option<&str> {
        self.weights.as_ref().map(|weights| weights.model.as_str())
    }

    fn limit_refusal(&self) -> GateRefusal {
        if self.is_cold() {
            return GateRefusal::ColdLimit;
        }
        GateRefusal::Full
    }

    /// Counts a quick answer if the calls in flight have reached the limit. When the count equals the
    /// limit, the limit rises by half, and by at least 1.
    fn record_quick_answer(&mut self) {
        self.consecutive_slow = 0;
        if self.reported_state == ReportedState::Cold || self.peak_in_flight < self.limit {
            return;
        }
        self.quick_at_limit += 1;
        if self.quick_at_limit < self.limit {
            return;
        }
        self.quick_at_limit = 0;
        self.peak_in_flight = 0;
        let raised = self.limit + (self.limit / 2).max(1);
        self.limit = raised.min(self.policy.warm_limit);
    }

    fn record_slow_answer(&mut self) {
        self.quick_at_limit = 0;
        self.consecutive_slow += 1;
        if self.consecutive_slow >= MAX_CONSECUTIVE_SLOW {
            self.turn_cold();
        }
    }
}
