//! Answers operators where a call would go now and why, on the metrics listener. Sends, reserves and
//! counts nothing; the request names a workspace, so that no key is needed.

use std::time;

use hyper::{Request, Response, StatusCode};
use wagtailshunt_core::{allowance, explain, placement, routing, types};

use crate::{
    entry::{calls, key_lease, state},
    http,
};

/// Path of the query, followed by host and path of the call.
pub const PATH: &str = "/explain/";

/// Header with the name of the workspace that sends the call.
pub const WORKSPACE_HEADER: &str = "explain-workspace";

/// Header with the remaining time of the call in milliseconds.
pub const TIME_LEFT_HEADER: &str = "explain-time-left-ms";

/// Answers a query; `None` if the request is none.
pub fn answer<B>(state: &state::State, req: &Request<B>) -> Option<Response<http::Body>> {
    let (host, path) = req.uri().path().strip_prefix(PATH)?.split_once('/')?;
    let header = |name: &str| req.headers().get(name)?.to_str().ok();
    let time_left = header(TIME_LEFT_HEADER).and_then(|text| text.parse().ok());
    let time_left = time_left.map(time::Duration::from_millis);
    let workspace = header(WORKSPACE_HEADER);
    let explanation = explain(state, host, &format!("/{path}"), workspace, time_left);
    Some(http::json(StatusCode::OK, &explanation))
}

/// The checks of a call in their order.
#[derive(Default)]
struct Checks {
    results: Vec<(String, String)>,
}

impl Checks {
    fn add(&mut self, check: &str, result: impl Into<String>) {
        self.results.push((check.to_owned(), result.into()));
    }

    fn refused(mut self, failure: calls::Failure) -> explain::Explanation {
        let status = failure.status().as_u16();
        self.add("outcome", format!("refused with {status} ({failure})"));
        self.finish(Vec::new())
    }

    fn finish(self, services: Vec<explain::Service>) -> explain::Explanation {
        explain::Explanation {
            checks: self.results,
            services,
        }
    }
}

fn explain(
    state: &state::State,
    host: &str,
    path: &str,
    workspace: Option<&str>,
    time_left: Option<time::Duration>,
) -> explain::Explanation {
    let mut checks = Checks::default();
    let (routes, version) =
        state.with(|inner| (inner.routes.clone(), inner.machine.table.version()));
    checks.add(
        "failure domain of this VM",
        state.cfg.failure_domain.to_string(),
    );
    checks.add("configuration", version.to_string());
    if version.0 == 0 {
        return checks.refused(calls::Failure::NoConfiguration);
    }
    let Some(named_route) = routes.find(host, path) else {
        return checks.refused(calls::Failure::NoRoute);
    };
    let (name, route) = &**named_route;
    checks.add("route", route_text(name, route));
    let needs_key = routes.has_workspaces() && !route.public;
    checks.add("key lease", lease_text(state, needs_key));
    let mut priority = route.priority;
    if needs_key {
        let known = |name: &&str| {
            state.with(|inner| inner.machine.table.items().workspaces.get(*name).cloned())
        };
        // A name that is not known may be a key by mistake, and isn't repeated.
        let Some((workspace, known)) = workspace.and_then(|name| Some((name, known(&name)?)))
        else {
            checks.add("workspace", "none, or not known");
            return checks.refused(calls::Failure::UnknownKey);
        };
        priority = known.priority.unwrap_or(priority);
        checks.add("workspace", workspace);
        if !key_lease::is_held(state) {
            return checks.refused(calls::Failure::KeysUnconfirmed);
        }
        let now = state.clock.now();
        let outlook = state.with(|inner| inner.allowances.outlook(now, workspace));
        checks.add("tokens", outlook_text(outlook));
    }
    checks.add("priority", priority.to_string());
    if state.stopping() {
        checks.add(
            "stop",
            "in progress: only calls that end in time are accepted",
        );
    }
    if state.is_path_lost() {
        checks.add("path to the targets", "lost: calls are sent to other VMs");
    }
    let shares = route.shares.iter().filter(|share| share.weight > 0.0);
    let services =
        shares.map(|share| explain_service(state, named_route, &share.service, time_left));
    let services = services.collect();
    checks.finish(services)
}

fn route_text(name: &str, route: &routing::Route) -> String {
    let runs = match route.repeatable {
        true => "may run more than once",
        false => "may run only once",
    };
    let (timeout, attempts) = (route.timeout.as_millis(), route.max_attempts);
    format!("{name}, {runs}, timeout {timeout} ms, at most {attempts} attempts")
}

fn lease_text(state: &state::State, needs_key: bool) -> &'static str {
    match needs_key {
        false => "not needed",
        true if key_lease::is_held(state) => "held, or not required by the settings",
        true => "missing: the call waits for one",
    }
}

fn outlook_text(outlook: allowance::Outlook) -> String {
    match outlook {
        allowance::Outlook::Unlimited => "no allowance".to_owned(),
        allowance::Outlook::Held(count) => format!("{count} held"),
        allowance::Outlook::Refused(left) => {
            let ms = left.as_millis();
            format!(
                "none for {ms} ms: refused with 429 (over-allowance), unless the reserve covers it"
            )
        }
        allowance::Outlook::Asked { waiting } => {
            format!("none held: waits for the leader's reply, with {waiting} other calls")
        }
        allowance::Outlook::Silent { waiting } => format!(
            "none held, and no leader replies: the reserve, or 503 (allowance-unknown); {waiting} \
             other calls wait"
        ),
    }
}

/// Explains where the call would go if it is assigned to this service.
fn explain_service(
    state: &state::State,
    named_route: &(String, routing::Route),
    service: &types::ServiceName,
    time_left: Option<time::Duration>,
) -> explain::Service {
    let (name, route) = named_route;
    let now = state.clock.now();
    let timeout = time_left.map_or(route.timeout, |left| left.min(route.timeout));
    let deadline = now + timeout;
    let cfg = state.cfg.search.clone();
    let search = placement::Search::new(cfg, now, now + route.objective, deadline);
    let rule = calls::room_rule(state);
    let search = calls::configured_search(search, route.repeatable, rule);
    state.with(|inner| {
        let work = inner.service_times.get(name).copied();
        let work = work.unwrap_or_else(|| calls::ServiceTime::from_objective(route.objective));
        let call = explain::Call {
            demand: placement::Demand {
                service,
                work: work.mean(),
                tried: &[],
            },
            search: &search,
            deadline,
            feeds_cold: route.repeatable || !calls::has_repeatable_calls(inner, service),
        };
        let queued = inner.queues.get(service).map_or(0, placement::Queue::len);
        let shed = inner.shedders.get(service);
        let probes = inner.probe_budgets.get(service);
        let unreported = inner.placement.unreported(now, service);
        let room = rule.map_or(0, |rule| unreported.room(rule.vms));
        let queue = explain::Queue {
            waiting: queued + shed.map_or(0, |shedder| shedder.waiting()),
            // A service without calls has a full budget.
            may_probe: probes.is_none_or(|budget| budget.has_tokens()),
            takes_unreported: !unreported.others_reported && room > 0,
        };
        explain::explain(now, &inner.placement, &call, queue)
    })
}
