//! HTTP helpers shared by all listeners.
