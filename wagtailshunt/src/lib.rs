//! The wagtailshunt load balancer as a library: settings, sockets, files, timers and loops.

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
