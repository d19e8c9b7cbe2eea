//! Gateway daemon: callers, targets and announcements.

mod headers;
mod upstream;
