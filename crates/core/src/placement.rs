//! Placement of models: which weights each engine upstream should hold.
//!
//! Every agent computes the same placement from the configuration and the live upstreams, in two
//! steps. The first uses the configuration alone, so that neither a dead upstream nor a data centre
//! that is taken out of service moves a model between live upstreams. The second adds the missing
//! replicas on live upstreams that hold no model.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::{ClusterConfig, ModelSpec, UpstreamKind, UpstreamSpec};
use crate::ids::{DataCentreId, ModelId, UpstreamId, VersionId};
use crate::rank;

value_type! {
    /// Weights that an upstream should hold.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct Placement {
        /// Name of the model or adapter.
        pub model: ModelId,
        /// Version of the weights.
        pub version: VersionId,
    }
}

/// Models by the upstream that should hold them.
pub type PlacementMap = BTreeMap<UpstreamId, ModelId>;

type CandidateList<'a> = Vec<(&'a UpstreamId, &'a UpstreamSpec)>;

/// Returns the weights that the upstream named `own` should hold, if any. `live` are the names of
/// the live upstreams.
#[must_use]
pub fn place(config: &ClusterConfig, live: &BTreeSet<UpstreamId>, own: &str) -> Option<Placement> {
    let model = place_all(config, live).remove(own)?;
    let version = config.models.get(&model)?.version.clone();
    Some(Placement { model, version })
}

/// Returns the model that each upstream should hold; upstreams without a model are left out. An
/// upstream that is dead, or whose data centre is out of service, keeps its model, while a live
/// upstream without a model takes the replacement replica.
#[must_use]
pub fn place_all(config: &ClusterConfig, live: &BTreeSet<UpstreamId>) -> PlacementMap {
    let mut placed = PlacementMap::new();
    for (model, spec) in &config.models {
        add_replicas(config, model, spec, &mut placed, |_, _| true);
    }
    for (model, spec) in &config.models {
        add_replicas(config, model, spec, &mut placed, |name, upstream| {
            live.contains(name) && config.is_in_service(&upstream.data_centre)
        });
    }
    placed
}

/// Adds replicas of `model` on `usable` upstreams without a model, until as many usable upstreams
/// hold it as `spec` asks for or no candidate is left. The data centre with the fewest replicas
/// comes first, and within it the upstream with the best rank.
fn add_replicas<Usable>(
    config: &ClusterConfig,
    model: &ModelId,
    spec: &ModelSpec,
    placed: &mut PlacementMap,
    usable: Usable,
) where
    Usable: Fn(&UpstreamId, &UpstreamSpec) -> bool,
{
    let mut replica_counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    let mut candidates: CandidateList<'_> = Vec::new();
    let mut missing = spec.replicas as usize;
    for (name, upstream) in &config.upstreams {
        if upstream.kind != UpstreamKind::Engine || !usable(name, upstream) {
            continue;
        }
        match placed.get(name) {
            Some(held) if held == model => {
                missing = missing.saturating_sub(1);
                *replica_counts.entry(&upstream.data_centre).or_default() += 1;
            }
            None if is_allowed(spec, upstream) => candidates.push((name, upstream)),
            _ => (),
        }
    }
    candidates
        .sort_by_cached_key(|(name, _)| (Reverse(rank::score(model.as_bytes(), name)), *name));
    while missing > 0 && !candidates.is_empty() {
        let count = |upstream: &UpstreamSpec| replica_counts.get(&upstream.data_centre).copied();
        let best = candidates
            .iter()
            .enumerate()
            .min_by_key(|(index, (_, upstream))| (count(upstream).unwrap_or(0), *index));
        let Some((index, _)) = best else {
            return;
        };
        let (name, upstream) = candidates.remove(index);
        placed.insert(name.clone(), model.clone());
        *replica_counts.entry(&upstream.data_centre).or_default() += 1;
        missing -= 1;
    }
}

fn is_allowed(spec: &ModelSpec, upstream: &UpstreamSpec) -> bool {
    spec.data_centres.is_empty() || spec.data_centres.contains(&upstream.data_centre)
}
