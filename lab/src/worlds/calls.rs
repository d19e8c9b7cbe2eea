//! Balancing, admission and retries against fake targets.
