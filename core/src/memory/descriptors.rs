//! File descriptors of a process, divided between its connections.

/// File descriptors that the platform keeps for itself.
const RESERVED_FILES: u64 = 200;

/// One part in this many of the descriptors is for connections of callers. The others are for
/// connections to targets, of which each call needs one or two, and to other VMs.
const CALLER_SHARE: u64 = 2;

/// Limit of caller connections where the number of descriptors is not known.
const DEFAULT_CONNECTIONS: u64 = 3000;

/// Smallest limit, so that a VM with few descriptors serves at all.
const MIN_CONNECTIONS: u64 = 16;

/// One part in this many is for connections of operators and targets.
const OPERATOR_SHARE: u64 = 8;

/// Limit of connections of operators and targets where the number of descriptors is not known.
const DEFAULT_OPERATOR_CONNECTIONS: u64 = 4096;

/// Returns how many connections operators and targets may have open to a process with this many file
/// descriptors.
pub fn operator_connections(max_open_files: Option<u64>) -> usize {
    let limit = max_open_files.map_or(DEFAULT_OPERATOR_CONNECTIONS, |files| {
        let available = files.saturating_sub(RESERVED_FILES) / OPERATOR_SHARE;
        available.clamp(MIN_CONNECTIONS, DEFAULT_OPERATOR_CONNECTIONS)
    });
    limit as usize
}

/// Returns how many connections callers may have open to a process with this many file descriptors.
pub fn caller_connections(max_open_files: Option<u64>) -> usize {
    let limit = max_open_files.map_or(DEFAULT_CONNECTIONS, |files| {
        let available = files.saturating_sub(RESERVED_FILES) / CALLER_SHARE;
        available.clamp(MIN_CONNECTIONS, DEFAULT_CONNECTIONS)
    });
    limit as usize
}
