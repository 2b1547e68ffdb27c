//! Admission: waits a short while for a place at an upstream.

use std::time::{Duration, Instant};

use agatepin_core::ids::{RegionId, UpstreamId};
use agatepin_core::relay::catalog::RouteSpec;
use agatepin_core::relay::chooser::{self, EntryLocation, UpstreamChoice, UpstreamCriteria};
use agatepin_core::relay::client_timeout;
use tokio::time::timeout;

use crate::relay::fleet::{FleetHandle, FleetState};
use crate::relay::refusal::RefusalReason;

/// Part of the objective for which a request may wait for a place: the platform prices refusals
/// that come later.
const WAIT_PART: u32 = 8;
/// Taken off that part for the way back to the caller.
const WAIT_MARGIN: Duration = Duration::from_millis(8);
/// Time after which a waiting request looks again where nobody woke it.
const LOOK_AGAIN: Duration = Duration::from_millis(10);

agatepin_core::value_type! {
    /// Where this entry is.
    pub struct EntryIdentity {
        /// Name.
        pub name: String,
        /// Data centre.
        pub data_centre: String,
        /// Region.
        pub region: String,
    }
}

/// What a request asks for.
pub struct AdmissionWish<'call> {
    /// Its route.
    pub route: &'call RouteSpec,
    /// Service that was drawn for it.
    pub service: &'call str,
    /// Regions of its customer; all where empty.
    pub allowed_regions: &'call [RegionId],
    /// Upstreams that it was sent to.
    pub tried: &'call [UpstreamId],
    /// Prompt tokens.
    pub tokens: u32,
    /// When it came.
    pub started: Instant,
    /// Its caller was refused before, and cannot be answered within the objective any more.
    pub came_back: bool,
}

/// Finds a place at an upstream, and counts the request there.
///
/// # Errors
/// There is no place in time.
pub async fn admit(
    fleet: &FleetHandle,
    place: &EntryIdentity,
    wish: &AdmissionWish<'_>,
) -> Result<UpstreamId, RefusalReason> {
    let until = wish.started + (wish.route.objective / WAIT_PART).saturating_sub(WAIT_MARGIN);
    loop {
        let freed = fleet.freed.notified();
        let now = Instant::now();
        let refusal = match fleet.with(|fleet| choose_upstream(fleet, place, wish, now)) {
            UpstreamChoice::Send(id) => return Ok(id),
            UpstreamChoice::Full => RefusalReason::Full,
            UpstreamChoice::None => RefusalReason::NoUpstream,
        };
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            return Err(refusal);
        }
        // Nobody is told where a place is; a waiting request looks by itself as well.
        let _ = timeout(left.min(LOOK_AGAIN), freed).await;
    }
}

fn choose_upstream(
    fleet: &mut FleetState,
    place: &EntryIdentity,
    wish: &AdmissionWish<'_>,
    now: Instant,
) -> UpstreamChoice {
    let Some(catalog) = fleet.catalog.clone() else {
        return UpstreamChoice::None;
    };
    let Some(service) = catalog.service(wish.service) else {
        return UpstreamChoice::None;
    };
    let entries = fleet.entries.alive(&place.name, now).count() + 1;
    let model = service.engine.as_ref().map(|engine| &engine.model);
    let upstream_criteria = UpstreamCriteria {
        service: wish.service,
        allowed_regions: [&wish.route.home_regions, wish.allowed_regions],
        tried: wish.tried,
        weights: model.and_then(|model| fleet.weights.get(model)?.required(now)),
        engine: service.engine.as_ref(),
        tokens: wish.tokens,
        first_event_limit: client_timeout::first_event_limit(
            wish.route.objective,
            wish.started.elapsed(),
            wish.came_back,
        ),
        cold_requests_per_second: service.cold_requests_per_second,
    };
    let entry_location = EntryLocation {
        data_centre: &place.data_centre,
        region: &place.region,
        entries,
    };
    let choice = chooser::choose_upstream(
        &fleet.upstreams,
        &fleet.cold,
        &entry_location,
        &upstream_criteria,
        now,
        rand::random::<f64>,
    );
    if let UpstreamChoice::Send(id) = &choice {
        let cold = fleet
            .upstreams
            .get(id)
            .is_some_and(|state| state.is_cold(now));
        if cold && service.cold_requests_per_second > 0 {
            fleet
                .cold
                .take(id, service.cold_requests_per_second, entries, now);
        }
        fleet.upstreams.count_request(id, wish.tokens);
    }
    choice
}
