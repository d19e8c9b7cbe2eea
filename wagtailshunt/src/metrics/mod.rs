//! Helpers that register Prometheus metrics and encode them in the text format.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Returns the metrics of a registry in the Prometheus text format.
pub fn encode(registry: &Registry) -> Vec<u8> {
    let mut buf = Vec::new();
    if let Err(err) = TextEncoder::new().encode(&registry.gather(), &mut buf) {
        log::warn!("cannot encode metrics: {err}; the response is incomplete");
    }
    buf
}

/// Registers a counter.
pub fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(Opts::new(name, help)).expect("constant name is valid");
    register(registry, Box::new(counter.clone()));
    counter
}

/// Registers a gauge.
pub fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::with_opts(Opts::new(name, help)).expect("constant name is valid");
    register(registry, Box::new(gauge.clone()));
    gauge
}

/// Registers a counter vector with one label.
pub fn counter_vec(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), &[label]).expect("constant name is valid");
    register(registry, Box::new(vec.clone()));
    vec
}

/// Registers a counter vector with two labels.
pub fn counter_vec2(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: [&str; 2],
) -> IntCounterVec {
    let vec = IntCounterVec::new(Opts::new(name, help), &labels).expect("constant name is valid");
    register(registry, Box::new(vec.clone()));
    vec
}

fn register(registry: &Registry, collector: Box<dyn prometheus::core::Collector>) {
    if let Err(err) = registry.register(collector) {
        log::warn!("cannot register metric: {err}; it is not exported");
    }
}
