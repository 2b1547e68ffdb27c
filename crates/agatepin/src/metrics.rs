//! Registration and text output of a process's metrics. Callers write each metric name out in full,
//! with the prefix `agatepin_`, so that it can be found by a text search.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, Result, TextEncoder,
};

/// Registers a counter `name` with `labels`.
///
/// # Errors
/// The name or a label is invalid, or the name is already registered.
pub fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

/// Registers a gauge `name` with `labels`.
///
/// # Errors
/// The name or a label is invalid, or the name is already registered.
pub fn gauge(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
    let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// Registers a histogram `name` of times in seconds, with `labels` and the default buckets.
///
/// # Errors
/// The name or a label is invalid, or the name is already registered.
pub fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help);
    let histogram = HistogramVec::new(opts, labels)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

/// Encodes all metrics of `registry` in the Prometheus text format.
///
/// # Errors
/// A metric cannot be encoded.
pub fn encode(registry: &Registry) -> Result<String> {
    TextEncoder::new().encode_to_string(&registry.gather())
}
