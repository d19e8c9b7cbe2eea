//! Serving leases of gateways and in-force tracking.
