//! Channels by which the spread publishes its state to the rest of the process, and its metrics.

use std::sync::Arc;

use agatepin_core::config::ClusterConfig;
use agatepin_core::member::MemberView;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Registry};
use tokio::sync::watch;

use super::SpreadState;
use crate::metrics;
use crate::wire::codec::TrafficCounts;

/// Channels and metrics of the spread; the channels are described at [`SpreadHandle`].
///
/// [`SpreadHandle`]: super::SpreadHandle
#[derive(Debug)]
pub(super) struct SpreadOutputs {
    pub config: watch::Sender<Arc<ClusterConfig>>,
    pub members: watch::Sender<Arc<MemberView>>,
    pub config_known: watch::Sender<bool>,
    pub state: watch::Sender<Arc<SpreadState>>,
    /// Bytes read of the configuration row (label `table`) and of the instance list (label `list`).
    pub platform_bytes: IntCounterVec,
    /// Number of malformed rows of the instance list, which were skipped.
    pub skipped_rows: IntCounter,
    /// Number of links opened by other processes that this process closed because
    /// [`MAX_ACCEPTED_LINKS`](super::neighbours::MAX_ACCEPTED_LINKS) were open.
    pub refused_links: IntCounter,
    /// Revision of the configuration in force.
    revision: IntGauge,
    /// Number of configurations seen that had the same revision as another one but a different
    /// content.
    anomalies: IntGauge,
    /// Number of open links to neighbours.
    linked: IntGauge,
    /// Bytes sent and received on links to neighbours, by direction.
    link_bytes: IntCounterVec,
    /// Frames sent and received on links to neighbours, by direction.
    link_frames: IntCounterVec,
}

impl SpreadOutputs {
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            Ok(metrics::gauge(registry, name, help, &[])?.with_label_values::<&str>(&[]))
        };
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            Ok(metrics::counter(registry, name, help, &[])?.with_label_values::<&str>(&[]))
        };
        let labelled_counter =
            |name: &str, help: &str, label: &str| metrics::counter(registry, name, help, &[label]);
        Ok(Self {
            config: watch::Sender::new(Arc::default()),
            members: watch::Sender::new(Arc::default()),
            config_known: watch::Sender::new(false),
            state: watch::Sender::new(Arc::default()),
            platform_bytes: labelled_counter(
                "agatepin_platform_read_bytes",
                "Bytes read of the instance list and the configuration row",
                "what",
            )?,
            skipped_rows: counter(
                "agatepin_list_rows_skipped",
                "Malformed rows of the instance list that were left out",
            )?,
            refused_links: counter(
                "agatepin_spread_links_refused",
                "Links of other processes that were closed as there were too many",
            )?,
            revision: gauge("agatepin_config_revision", "Revision in force")?,
            anomalies: gauge(
                "agatepin_config_anomalies",
                "Bodies seen of one revision that differ",
            )?,
            linked: gauge("agatepin_spread_links", "Open links to overlay neighbours")?,
            link_bytes: labelled_counter(
                "agatepin_spread_link_bytes",
                "Bytes on links to overlay neighbours",
                "direction",
            )?,
            link_frames: labelled_counter(
                "agatepin_spread_link_frames",
                "Frames on links to overlay neighbours, heartbeats included",
                "direction",
            )?,
        })
    }

    /// Publishes the state, and sets the gauges to its values.
    pub(super) fn publish(&self, state: SpreadState) {
        let gauge_value = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.revision.set(gauge_value(state.revision));
        self.anomalies.set(gauge_value(state.counts.anomalies));
        self.linked.set(gauge_value(state.linked.len() as u64));
        self.state.send_replace(Arc::new(state));
    }

    /// Raises the traffic counters to the totals since the process started.
    pub(super) fn update_traffic(&self, traffic: TrafficCounts) {
        let directions = [
            ("sent", traffic.sent_bytes, traffic.sent_frames),
            ("received", traffic.received_bytes, traffic.received_frames),
        ];
        for (direction, bytes, frames) in directions {
            raise_to(&self.link_bytes, direction, bytes);
            raise_to(&self.link_frames, direction, frames);
        }
    }
}

/// Raises a counter to `total`; leaves it unchanged if `total` is lower.
fn raise_to(counters: &IntCounterVec, direction: &str, total: u64) {
    let counter = counters.with_label_values(&[direction]);
    counter.inc_by(total.saturating_sub(counter.get()));
}
