//! Requests that crash targets: suspects, permits and blocks.
