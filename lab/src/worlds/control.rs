//! Records, leases and directory over a fake network.
