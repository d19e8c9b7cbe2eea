//! The program against stand-ins for control daemons.

mod commands;
mod explain;
mod stub;
mod system;
mod timeline;
