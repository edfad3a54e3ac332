//! The promises, checked from what callers and servers saw.

use std::time::Duration;

use actix_http::StatusCode;
use comfreyweir_platform_standins::caller::Outcome;

use crate::{
    callers::{Record, UNKNOWN_KEY},
    cluster::{TIME_LIMIT, World},
};

/// Statuses that say that a request has not run and never will.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Time after a route's limit by which the final answer is there.
const LATE: Duration = Duration::from_millis(500);
/// Time after a disturbance of an instance from which its answers have to be in time.
const CONTACT: Duration = Duration::from_secs(3);
/// Late answers that break the promise, at least.
const MANY_LATE: usize = 8;

/// Promises that requests saw broken.
pub(crate) fn records(records: &[Record], world: &World) -> Vec<String> {
    let mut broken = Vec::new();
    for record in records {
        if let Some(what) = check(record, world) {
            broken.push(format!("{what}: {record:?}"));
        }
    }
    broken.extend(lateness(records, world));
    broken
}

fn check(record: &Record, world: &World) -> Option<String> {
    let (call, outcome) = (&record.call, &record.outcome);
    let runs = world.ledger.runs(&call.id);
    if let Outcome::Wrong(what) = outcome {
        return Some(what.clone());
    }
    let path = format!("{}x", call.kind.prefix());
    if runs.iter().any(|r| r.path != path || r.tenant != "school") {
        return Some(format!("ran as another request: {runs:?}"));
    }
    if call.key == UNKNOWN_KEY && !runs.is_empty() {
        return Some(format!("ran without a key: {runs:?}"));
    }
    if record.is_served() && runs.is_empty() {
        return Some("served without a run".to_owned());
    }
    if call.kind.may_repeat() {
        return None;
    }
    if runs.len() > 1 {
        return Some(format!("ran more than once: {runs:?}"));
    }
    let is_refused = matches!(outcome, Outcome::Answered(status) if NOT_RUN.contains(status));
    let is_false = is_refused && !runs.is_empty();
    is_false.then(|| format!("refused as not run, and ran: {runs:?}"))
}

/// Of the requests that are unanswered at their time limit, at most half may have no answer a
/// little later, at instances that nothing disturbed meanwhile.
fn lateness(records: &[Record], world: &World) -> Option<String> {
    let calm = records.iter().filter(|r| {
        let disturbed = world.instances[r.instance].disturbed.get();
        r.sent > disturbed + CONTACT
    });
    let due: Vec<_> = calm.filter(|r| r.took >= TIME_LIMIT).collect();
    let late = due.iter().filter(|r| r.took > TIME_LIMIT + LATE).count();
    let is_broken = late >= MANY_LATE && late * 2 > due.len();
    is_broken.then(|| format!("{late} of {} requests at their limit were late", due.len()))
}
