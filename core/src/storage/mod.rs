//! On-disk format of a replicated group: frames, segments, snapshots, recovery.
