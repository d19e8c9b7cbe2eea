//! Tests of the program against stub control daemons and against a running system.

mod broken_answers;
mod commands;
mod explain;
mod stub;
mod system;
mod timeline;
