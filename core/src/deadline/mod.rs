//! Remaining time of a call and its propagation.
