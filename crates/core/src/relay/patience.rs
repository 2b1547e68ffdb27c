//! How long callers have waited before they came: those that come back after a refusal state what is
//! left of their patience.

use std::collections::HashMap;
use std::time::Duration;

/// Part of the objective within which the first event is expected of an engine that takes a request:
/// the rest is for what the expectation cannot know.
const AIM_PART: f64 = 0.8;
/// The same for requests that are late in any case.
const LATE_PART: f64 = 0.2;
/// Time of the ways between caller, entry and engine.
const WAY_BACK: Duration = Duration::from_millis(15);

/// Time within which an engine must be expected to send the first event of a request that came
/// `elapsed` ago. A request that came back too late for its objective is taken only where it does
/// not make others late.
#[must_use]
pub fn first_event_limit(objective: Duration, elapsed: Duration, came_back: bool) -> Duration {
    if came_back {
        return objective.mul_f64(LATE_PART);
    }
    let aim = objective.mul_f64(AIM_PART);
    aim.saturating_sub(elapsed + WAY_BACK)
}

/// The longest patience that callers of each route stated.
#[derive(Debug, Default)]
pub struct PatienceBook {
    routes: HashMap<String, Duration>,
}

impl PatienceBook {
    /// Whether a caller of `route` that states this patience has waited for longer than the
    /// objective before.
    pub fn came_back(&mut self, route: &str, stated: Duration, objective: Duration) -> bool {
        self.usual(route, stated).saturating_sub(stated) >= objective
    }

    /// Takes what a caller of `route` stated, and returns the usual patience there.
    fn usual(&mut self, route: &str, stated: Duration) -> Duration {
        let Some(known) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_owned(), stated);
            return stated;
        };
        *known = stated.max(*known);
        *known
    }
}
