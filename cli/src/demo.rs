//! Command `demo`: runs a small cluster on this machine.

use std::io;

use wagtailshunt_lab::demo;

use crate::{exit, folder, timeline};

/// Runs `demo`.
pub async fn run() -> Result<exit::Code, exit::Error> {
    let data = folder::Folder::new()?;
    let mut out = io::stdout();
    let shown = demo::run(data.path().to_owned(), &mut out, &timeline::merged).await;
    shown.map_err(|err| exit::Error::Failed(err.to_string()))?;
    Ok(exit::Code::Ok)
}
