//! Handlers of the readiness port and of the admin port (metrics and status).

use std::collections::BTreeMap;

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use comfreyweir_clock::{Clock, whole_millis};
use comfreyweir_fleet::{directory::UpstreamProcess, quarantine::PartId};
use comfreyweir_http::shutdown::Phase;
use serde_json::json;

use crate::{duty::Coordinator, platform::Platform, state::EntryContext, zones};

/// Path of the call that releases a prompt part from the quarantine.
const RELEASE_PATH: &str = "/quarantine/release";

/// Answers the load balancer's readiness check: whether this instance accepts new connections.
pub(crate) fn serve_ready<P>(cx: &EntryContext<P>, req: &Request) -> Response<BoxBody>
where
    P: Platform,
{
    if req.path() != cx.platform.ready_path() {
        return text(
            StatusCode::NOT_FOUND,
            "only readiness is told here\n".to_owned(),
        );
    }
    match unready_reason(cx) {
        None => text(StatusCode::OK, "ready\n".to_owned()),
        Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

/// Serves metrics and the status as JSON to operators.
pub(crate) fn serve_admin<P>(
    cx: &EntryContext<P>,
    coordinator: &Coordinator<P>,
    req: &Request,
) -> Response<BoxBody>
where
    P: Platform,
{
    match req.path() {
        "/metrics" => match encode_metrics(cx) {
            Ok(metrics) => text(StatusCode::OK, metrics),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
        },
        "/status" => text(StatusCode::OK, status(cx, coordinator)),
        RELEASE_PATH => release(cx, req),
        _ => text(
            StatusCode::NOT_FOUND,
            "try /metrics, /status or POST /quarantine/release?part=HEX\n".to_owned(),
        ),
    }
}

fn encode_metrics<P>(cx: &EntryContext<P>) -> Result<String, std::fmt::Error>
where
    P: Platform,
{
    let now = cx.now();
    let ages = [cx.config_age(now), cx.newer_config_age(now)];
    cx.metrics.set_config_ages(ages);
    cx.metrics.encode()
}

/// Releases a prompt part from the quarantine. The holder of the planning duty does it with the next
/// call.
fn release<P>(cx: &EntryContext<P>, req: &Request) -> Response<BoxBody>
where
    P: Platform,
{
    if req.method() != Method::POST {
        let reason = "parts are released by POST\n".to_owned();
        return text(StatusCode::METHOD_NOT_ALLOWED, reason);
    }
    let query = req.uri().query().unwrap_or_default();
    match query.strip_prefix("part=").map(str::parse::<PartId>) {
        Some(Ok(part)) => {
            cx.quarantine.release(part);
            text(StatusCode::ACCEPTED, format!("{part} is being released\n"))
        }
        _ => text(
            StatusCode::BAD_REQUEST,
            "name the part as /status does: ?part=HEX\n".to_owned(),
        ),
    }
}

fn unready_reason<P>(cx: &EntryContext<P>) -> Option<&'static str>
where
    P: Platform,
{
    if cx.shutdown.phase() != Phase::Serving {
        return Some("stopping");
    }
    if cx.config().version == 0 {
        return Some("the configuration is not known yet");
    }
    if cx.is_config_overdue(cx.now()) {
        return Some("a newer configuration is known of and has not arrived in time");
    }
    if cx.directory.borrow().age(cx.now()).is_none() {
        return Some("the upstreams are not known yet");
    }
    if !zones::is_known(cx) {
        return Some("the evacuations are not known yet");
    }
    None
}

fn status<P>(cx: &EntryContext<P>, coordinator: &Coordinator<P>) -> String
where
    P: Platform,
{
    let now = cx.now();
    let members = cx.members.borrow();
    let directory = cx.directory.borrow();
    let placement = cx.placement.borrow();
    let status = json!({
        "process": cx.process,
        "unready": unready_reason(cx),
        "configuration": cx.config().version,
        "configuration_age_ms": cx.config_age(now).map(whole_millis),
        "newer_configuration_heard_ms": cx.newer_config_age(now).map(whole_millis),
        "configuration_waits_for": waits_for(cx),
        "upstreams": directory.iter().count(),
        "upstreams_missing": directory.missing_count(),
        "upstreams_age_ms": directory.age(now).map(whole_millis),
        "instances": members.instances,
        "holder": members.holder,
        "duty": coordinator.duty_status().map(|(fence, may_order)| {
            json!({ "fence": fence, "may_order": may_order })
        }),
        "prompt_parts": prompt_parts(cx),
        "limits": limits(cx),
        "cold": cold(cx),
        "evacuations": zones::status(cx),
        "placement": placement.engines,
        "placement_is_fresh": placement.is_fresh(now),
        "in_flight": cx.shutdown.in_flight(),
        "caller_memory": caller_memory(cx),
    });
    format!("{status:#}\n")
}

/// What this instance waits for to get its configuration up to date; none if it is.
fn waits_for<P>(cx: &EntryContext<P>) -> Option<String>
where
    P: Platform,
{
    let now = cx.now();
    let is_current = cx.is_config_in_time(now) && cx.newer_config_age(now).is_none();
    (!is_current).then(|| cx.known_config.waits_for())
}

/// Bytes that callers' connections hold, and the most that they may.
fn caller_memory<P>(cx: &EntryContext<P>) -> serde_json::Value
where
    P: Platform,
{
    let (held, limit) = cx.caller_memory.usage();
    json!({ "held_bytes": held, "limit_bytes": limit })
}

/// Listed upstreams that have named a limit, with the requests a second that they take.
fn limits<P>(cx: &EntryContext<P>) -> BTreeMap<String, f64>
where
    P: Platform,
{
    let directory = cx.directory.borrow();
    let limits = cx.limits.borrow();
    let limited = directory.iter().filter_map(|upstream| {
        let limit = limits.limit(&UpstreamProcess::of(upstream))?;
        Some((upstream.id.clone(), limit))
    });
    limited.collect()
}

/// Listed upstreams that are cold, with the requests a second that they take meanwhile and the time
/// left.
fn cold<P>(cx: &EntryContext<P>) -> BTreeMap<String, serde_json::Value>
where
    P: Platform,
{
    let since_boot = cx.clock.since_boot();
    let directory = cx.directory.borrow();
    let cold = directory.iter().filter_map(|upstream| {
        let cold = cx.cold(upstream)?;
        let left_ms = whole_millis(cold.until.saturating_sub(since_boot));
        let state = json!({ "per_s": cold.per_s, "left_ms": left_ms });
        Some((upstream.id.clone(), state))
    });
    cold.collect()
}

/// The prompt parts under suspicion, as this instance knows them.
fn prompt_parts<P>(cx: &EntryContext<P>) -> Vec<serde_json::Value>
where
    P: Platform,
{
    let records = cx.quarantine.evidence().records().into_iter();
    let parts = records.map(|record| {
        json!({
            "part": record.part.to_string(),
            "is_suspect": record.is_suspect,
            "ends": record.ends,
            "failed_trials": record.failed_trials,
            "trial_in_ms": record.trial_in.map(whole_millis),
        })
    });
    parts.collect()
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status).body(body).map_into_boxed_body()
}
