//! Idempotency keys, containment and connections against fake targets.
