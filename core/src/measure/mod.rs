//! Token budget for measuring target load.
