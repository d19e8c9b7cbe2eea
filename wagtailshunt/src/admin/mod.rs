//! Health, metrics, status and events over HTTP.
