//! Comparison of target selection policies on one generated load.
