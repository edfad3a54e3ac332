//! Completions that are answered in one piece.

use std::{rc::Rc, time::Duration};

use actix_http::{
    Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use bytes::Bytes;
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use super::{
    Job,
    attempt::{self, Failure, Opened, Tries},
};
use crate::{
    Refusal, allowances::Allowances, context::Cx, metrics::Outcome, placement_view::PlacementView,
};

/// Largest answer that is taken from an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Answers in one piece, from the first engine that gives a whole answer.
pub(super) async fn serve<A, V>(cx: &Rc<Cx<A, V>>, job: &Job) -> Result<Response<BoxBody>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let mut tries = Tries::default();
    loop {
        let opened = attempt::open(cx, job, 0, &mut tries).await?;
        let upstream = opened.run.upstream.clone();
        match read(cx, job, opened).await {
            Ok(body) => {
                let catalog = &cx.follower.current().catalog;
                let workspace = &job.identity.workspace;
                cx.metrics
                    .first_token(workspace, catalog, job.arrived.elapsed());
                cx.metrics.answered(workspace, catalog, Outcome::Whole);
                return Ok(response(body));
            }
            Err(failure) => tries.note(job, &upstream, failure)?,
        }
    }
}

async fn read<A, V>(cx: &Cx<A, V>, job: &Job, opened: Opened<A>) -> Result<Bytes, Failure>
where
    A: Allowances,
    V: PlacementView,
{
    let Opened { run, mut answer } = opened;
    let stall = Duration::from_millis(cx.settings.limits.stall_ms);
    let body = answer.body.read_all(MAX_ANSWER_BYTES, stall);
    let Ok(body) = timeout_at(Instant::from_std(job.deadline), body).await else {
        run.slot.note_answer(false);
        return Err(Failure::Late(attempt::late().run_unknown()));
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            run.slot.note_failed();
            return Err(attempt::body_failure(&e));
        }
    };
    let Ok(json) = serde_json::from_slice::<Value>(&body) else {
        run.slot.note_failed();
        return Err(Failure::MayHaveRun("its answer is not JSON".to_owned()));
    };
    run.slot.note_answer(false);
    run.finish(attempt::used_tokens(&json["usage"]));
    Ok(body)
}

fn response(body: Bytes) -> Response<BoxBody> {
    let mut res = Response::build(StatusCode::OK);
    res.insert_header((
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    ));
    res.body(body).map_into_boxed_body()
}
