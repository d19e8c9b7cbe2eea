//! Control daemon: reads its settings and starts the loop.

use std::process;

use wagtailshunt::{control, daemon, settings};

fn main() -> process::ExitCode {
    daemon::main("wagtailshunt-control", async |cfg: settings::Control| {
        Ok(control::Control::start(cfg).await?)
    })
}
