//! File operations of a replicated group.
