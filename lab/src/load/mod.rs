//! Load generator over real HTTP.

pub mod client;
