//! Control daemon: replicated groups, leases, directory and operators.
