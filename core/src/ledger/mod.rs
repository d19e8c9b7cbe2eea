//! Replicated state machine of idempotency keys.
