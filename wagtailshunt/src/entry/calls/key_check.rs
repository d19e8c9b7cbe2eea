//! Check of a call's API key: its workspace, and whether this VM may rely on its keys.

use std::{rc, time};

use hyper::Request;
use rand::Rng;
use wagtailshunt_core::{key_lease as core_lease, routing};

use crate::{
    entry::{
        calls::{
            attempt::{CallRequest, CallWorkspace},
            failure::Failure,
        },
        key_lease, state,
    },
    http,
};

/// Longest `Retry-After` of a call refused for lack of a lease: a VM that has just started, with its
/// group, usually has one by then, and another VM may have one now.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// Part of the longest delay that is drawn at random, so that calls refused together do not return
/// together.
const RETRY_AFTER_SHARE: std::ops::Range<f64> = 0.4..1.0;

/// Returns the `Retry-After` of a call that is refused for lack of a lease. Callers honour up to a
/// third of the time that they have left.
pub fn retry_after(state: &state::State, time_left: time::Duration) -> time::Duration {
    let share = state.rng.borrow_mut().random_range(RETRY_AFTER_SHARE);
    MAX_RETRY_AFTER.min(time_left / 3).mul_f64(share)
}

/// Returns the workspace of a call, `None` on public routes, and whether the configuration has workspaces.
/// Without a lease, waits for one for at most `limit`.
///
/// The key is looked up after the lease was found valid, without a wait in between: then the
/// configuration has every change that was acknowledged longer ago than the lease permits.
///
/// # Errors
///
/// [`Failure::UnknownKey`] when the route needs a key and no workspace holds that of the call;
/// [`Failure::KeysUnconfirmed`] when this VM cannot tell in time.
pub async fn workspace(
    state: &rc::Rc<state::State>,
    req: &Request<http::Body>,
    route: &routing::Route,
    limit: time::Duration,
) -> Result<(Option<CallWorkspace>, bool), Failure> {
    let mut give_up_at = None;
    loop {
        let is_held = key_lease::is_held(state);
        let found = lookup(state, req, route);
        let is_certain = match &found {
            Ok((None, _)) => true,
            Ok((Some(_), _)) => is_held,
            Err(_) => key(state, req).is_none() || key_lease::proves_unknown_key(state),
        };
        if is_certain {
            return found;
        }
        let now = state.clock.now();
        let give_up_at = *give_up_at.get_or_insert_with(|| {
            now + match is_held {
                true => limit.min(core_lease::REPLY_TIMEOUT),
                false => limit,
            }
        });
        if now >= give_up_at {
            key_lease::count_refused(state);
            return Err(Failure::KeysUnconfirmed);
        }
        // Boxed, so that calls that don't wait need no memory for it.
        Box::pin(key_lease::wait_for_confirmation(
            state,
            give_up_at.since(now),
        ))
        .await;
    }
}

/// Checks, right before a call is sent to a target or a relay, that this VM may still rely on the
/// key of the call: the process may have been frozen since the call arrived.
///
/// # Errors
///
/// [`Failure::KeysUnconfirmed`] if it may not.
pub fn check_before_send(state: &state::State, call_request: &CallRequest) -> Result<(), Failure> {
    if call_request.workspace.is_none() || key_lease::is_held(state) {
        return Ok(());
    }
    key_lease::count_refused(state);
    Err(Failure::KeysUnconfirmed)
}

/// Returns the key of a call, if it has exactly one.
fn key<'a>(
    state: &state::State,
    req: &'a Request<http::Body>,
) -> Option<(&'a hyper::header::HeaderValue, &'a str)> {
    let mut values = req.headers().get_all(&state.cfg.protocol.key).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Some((value, value.to_str().ok()?.trim())),
        _ => None,
    }
}

fn lookup(
    state: &state::State,
    req: &Request<http::Body>,
    route: &routing::Route,
) -> Result<(Option<CallWorkspace>, bool), Failure> {
    let routes = state.with(|inner| inner.routes.clone());
    if !routes.has_workspaces() || route.public {
        return Ok((None, routes.has_workspaces()));
    }
    let (value, text) = key(state, req).ok_or(Failure::UnknownKey)?;
    let workspace = routes.workspace(&routing::ApiKey::from(text.to_owned()));
    let workspace = workspace.cloned().ok_or(Failure::UnknownKey)?;
    let mut key = value.clone();
    // Keeps the key out of debug output.
    key.set_sensitive(true);
    Ok((Some(CallWorkspace { workspace, key }), true))
}
