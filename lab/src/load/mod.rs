//! Open-loop load generator with latency histograms.
