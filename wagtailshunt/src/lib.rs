//! The wagtailshunt load balancer as a library.
//!
//! Connects the decisions of `wagtailshunt_core` to sockets, files, timers and settings.

pub mod admin;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod disk;
pub mod entry;
pub mod events;
pub mod gateway;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod transport;
