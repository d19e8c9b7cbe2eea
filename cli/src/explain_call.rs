//! Command `explain-call`: asks an entry VM where it would send a call now, and prints the answer.

use std::time;

use wagtailshunt::entry::explain as query;
use wagtailshunt_core::explain;

use crate::{exit, options};

/// Runs `explain-call`.
pub async fn run(
    global: &options::Program,
    opts: &options::ExplainCall,
) -> Result<exit::Code, exit::Error> {
    let Some(address) = opts.metrics else {
        let message = "option --metrics is required: the metrics address of a VM";
        return Err(exit::Error::Usage(message.to_owned()));
    };
    let call = match opts.call.contains('/') {
        true => opts.call.clone(),
        false => format!("{}/", opts.call),
    };
    let url = format!("http://{address}{}{call}", query::PATH);
    let limit = time::Duration::from_millis(global.timeout_ms);
    let text = compio::time::timeout(limit, fetch(&url, opts)).await;
    let text = text
        .map_err(|_| exit::Error::NoAnswer(address.to_string()))?
        .map_err(|err| exit::Error::NoAnswer(format!("{address}: {err}")))?;
    let explanation: explain::Explanation = serde_json::from_str(&text).map_err(|_| {
        exit::Error::Failed(format!(
            "{address} does not explain calls: is it an entry VM?"
        ))
    })?;
    match global.json {
        true => println!("{text}"),
        false => print!("{explanation}"),
    }
    Ok(exit::Code::Ok)
}

async fn fetch(url: &str, opts: &options::ExplainCall) -> Result<String, cyper::Error> {
    // Proxy settings of the environment do not apply to addresses of the system.
    let client = cyper::Client::builder().no_proxy().build()?;
    let mut builder = client.get(url)?;
    if let Some(name) = &opts.workspace {
        builder = builder.header(query::WORKSPACE_HEADER, name)?;
    }
    if let Some(ms) = opts.time_left_ms {
        builder = builder.header(query::TIME_LEFT_HEADER, ms.to_string())?;
    }
    builder.send().await?.text().await
}
