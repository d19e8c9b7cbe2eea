//! Command `demo`: runs a small cluster on this machine and shows what it does.

use std::{env, fs, io, process};

use wagtailshunt_lab::demo;

use crate::{exit, timeline};

/// Runs `demo`.
pub async fn run() -> Result<exit::Code, exit::Error> {
    let data = env::temp_dir().join(format!("wagtailshunt-demo-{}", process::id()));
    let render = |lines: &str| timeline::merge(lines).unwrap_or_else(|err| format!("{err}\n"));
    let result = demo::run(data.clone(), &mut io::stdout(), &render).await;
    if let Err(err) = fs::remove_dir_all(&data) {
        log::debug!("{}: {err}", data.display());
    }
    match result {
        Ok(()) => Ok(exit::Code::Ok),
        Err(err) => Err(exit::Error::Failed(err.to_string())),
    }
}
