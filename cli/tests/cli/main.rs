//! The program against stand-ins for control daemons.

mod commands;
mod stub;
mod system;
mod timeline;
