//! Gateway daemon: reads the settings and runs a gateway until it is stopped.

use std::process;

use wagtailshunt::{daemon, gateway, settings};

fn main() -> process::ExitCode {
    daemon::main("wagtailshunt-gateway", async |cfg: settings::Gateway, _| {
        Ok(gateway::Gateway::start(cfg).await?)
    })
}
