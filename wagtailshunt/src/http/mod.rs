//! HTTP servers and clients on top of hyper, shared by all daemons: listeners with graceful
//! shutdown, connections to targets, bodies, header checks and problem documents.

mod auth;
mod body;
mod client;
mod head;
mod io;
mod pipeline;
mod problem;
mod serve;

pub use auth::{Key, bearer_matches};
pub use body::{Body, BodyError, empty, full};
pub use client::{Client, ClientError};
pub use head::{HeadError, check_head, header_text, strip_connection_fields};
pub use problem::{CONTENT_TYPE_PROBLEM, Problem, json, plain};
pub use serve::{Limits, Shutdown, serve, serve_pipelined};
