//! Fake target: an HTTP server with slots, faults and a ledger of runs.
