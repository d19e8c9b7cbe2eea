//! HTTP helpers shared by all listeners.

mod auth;
mod body;
mod problem;
mod serve;

pub use auth::{Key, bearer_matches};
pub use body::{Body, BodyError, empty, full};
pub use problem::{CONTENT_TYPE_PROBLEM, Problem, json, plain};
pub use serve::{Limits, Shutdown, serve};
