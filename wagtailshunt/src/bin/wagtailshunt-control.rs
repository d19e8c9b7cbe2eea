//! Control daemon: reads the settings and runs a control VM until it is stopped.

use std::process;

use wagtailshunt::{control, daemon, settings};

fn main() -> process::ExitCode {
    daemon::main(
        "wagtailshunt-control",
        async |mut cfg: settings::Control, flags: daemon::Flags| {
            if !flags.bootstrap {
                cfg.bootstrap.clear();
            }
            Ok(control::Control::start(cfg).await?)
        },
    )
}
