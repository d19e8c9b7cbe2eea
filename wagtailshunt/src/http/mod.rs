//! HTTP servers and clients on top of hyper, shared by all daemons: listeners with graceful
//! shutdown, connections to targets, bodies, header checks and problem documents.

mod auth;
mod blocks;
mod body;
mod client;
mod head;
mod io;
mod memory;
mod occupancy;
mod pipeline;
mod problem;
mod serve;

pub use auth::{Key, bearer_matches};
pub use blocks::{BlockReader, Blocks, ReadError, buffer_response};
pub use body::{Body, BodyError, drain, empty, full, read_whole};
pub use client::{Client, ClientError};
pub use head::{
    HeadError, ResponseHeadError, check_head, check_response_head, header_text, marks_body_end,
    strip_connection_fields,
};
pub use memory::{Counters, Holder, Memory};
pub use problem::{CONTENT_TYPE_PROBLEM, Problem, json, plain};
pub use serve::{Limits, Shutdown, serve, serve_pipelined};
