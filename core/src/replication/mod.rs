//! Replicated log: leader election, quorum commit, snapshots, membership (Raft).
