//! Command `explain-call`: asks an entry VM where it would send a call now, and prints the answer.

use std::{net, time};

use hyper::{Request, Uri};
use wagtailshunt::{entry::explain as query, http};
use wagtailshunt_core::explain;

use crate::{exchange, exit, options};

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
    let uri: Uri = format!("{}{call}", query::PATH)
        .parse()
        .map_err(|err| exit::Error::Usage(format!("{call} is not a valid call: {err}")))?;
    let limit = time::Duration::from_millis(global.timeout_ms);
    let text = compio::time::timeout(limit, fetch(address, uri, opts)).await;
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

async fn fetch(
    address: net::SocketAddr,
    uri: Uri,
    opts: &options::ExplainCall,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut builder = Request::builder().uri(uri);
    if let Some(name) = &opts.workspace {
        builder = builder.header(query::WORKSPACE_HEADER, name);
    }
    if let Some(ms) = opts.time_left_ms {
        builder = builder.header(query::TIME_LEFT_HEADER, ms);
    }
    let response = exchange::send(address, builder.body(http::empty())?).await?;
    Ok(response.text)
}
