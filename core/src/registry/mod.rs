//! Replicated state machine of records, request ids and registered VMs.
