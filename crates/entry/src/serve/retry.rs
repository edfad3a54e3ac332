//! Sending a request until it is answered, refused or out of time.

use std::{rc::Rc, time::Duration};

use actix_http::{Response, StatusCode, body::BoxBody};
use comfreyweir_fleet::{config::RouteKind, health::Outcome};
use comfreyweir_http::upstream::Answer;

use super::{
    Refusal,
    admitted::Ticket,
    attempt::{self, Attempt, Sent},
    pick::{self, Avoided},
    relay,
};
use crate::{ports::Platform, state::Cx};

/// Sends of one request, at most, that did not run at the upstream.
const MAX_NOT_RUN: u32 = 6;
/// Time for which a request is not sent again to an upstream that failed it.
const AVOID_FAILED: Duration = Duration::from_secs(5);
/// The same for an engine that did not run it: it may only be about to load the artifact.
const AVOID_BUSY: Duration = Duration::from_millis(60);
/// When to come back after the repeats of a service are spent.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Part of its time after which a request that may be repeated is sent elsewhere.
const SILENCE_PART: f64 = 0.4;
/// Time to the first byte, in goals of the route, after which an upstream counts as silent.
const SILENCE_GOALS: f64 = 3.0;

/// Sends of one request so far.
#[derive(Default)]
struct Tries {
    avoided: Avoided,
    not_run: u32,
    /// Upstreams that may have run it.
    ran: u32,
}

/// Serves an admitted request.
pub(super) async fn run<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Rc<Ticket>,
) -> Result<Response<BoxBody>, Refusal>
where
    P: Platform,
{
    let mut tries = Tries::default();
    loop {
        let picked = match pick::pick(cx, ticket, &tries.avoided).await {
            Ok(picked) => picked,
            Err(refusal) => return Err(tries.true_of_all(refusal)),
        };
        let id = picked.upstream.id.clone();
        let limit = time_for_head(cx, ticket, &tries);
        let last_event = ticket.declared.last_event;
        match attempt::send(cx, ticket, &picked, last_event, limit).await {
            Attempt::Answered(answer, sent) => {
                let answered = answered(cx, ticket, &mut tries, answer, sent).await?;
                if let Some(res) = answered {
                    return Ok(res);
                }
            }
            Attempt::NotSent(reason) => {
                tries.not_run += 1;
                tries.avoided.until(&id, cx.now() + AVOID_FAILED);
                if tries.not_run >= MAX_NOT_RUN {
                    return Err(tries.true_of_all(Refusal::not_run(reason, RETRY_AFTER)));
                }
            }
            Attempt::NotRun(status) => {
                tries.not_run += 1;
                let avoid = if ticket.artifact().is_some() {
                    AVOID_BUSY * tries.not_run
                } else {
                    AVOID_FAILED
                };
                tries.avoided.until(&id, cx.now() + avoid);
                if tries.not_run >= MAX_NOT_RUN || !take_repeat(cx, ticket) {
                    let reason = format!("upstreams turned the request away with {status}");
                    return Err(tries.true_of_all(Refusal::not_run(reason, RETRY_AFTER)));
                }
            }
            Attempt::Failed(reason) => {
                tries.failed(cx, ticket, &id, Refusal::failed(reason))?;
            }
            Attempt::Silent => tries.failed(cx, ticket, &id, Refusal::late())?,
        }
    }
}

impl Tries {
    /// Notes a send that may have run; an error if the request must not be sent again.
    fn failed<P>(
        &mut self,
        cx: &Rc<Cx<P>>,
        ticket: &Ticket,
        upstream: &str,
        refusal: Refusal,
    ) -> Result<(), Refusal>
    where
        P: Platform,
    {
        self.ran += 1;
        self.avoided.until(upstream, cx.now() + AVOID_FAILED);
        let may_go_on = ticket.may_repeat()
            && self.ran < ticket.route.max_upstreams
            && !ticket.left(cx.now()).is_zero()
            && take_repeat(cx, ticket);
        if may_go_on { Ok(()) } else { Err(refusal) }
    }

    /// Makes a refusal true for all sends together.
    fn true_of_all(&self, refusal: Refusal) -> Refusal {
        if self.ran == 0 || refusal.may_have_run {
            return refusal;
        }
        Refusal::failed(refusal.reason)
    }
}

/// Time that an upstream has for the head of its answer.
fn time_for_head<P>(cx: &Cx<P>, ticket: &Ticket, tries: &Tries) -> Duration
where
    P: Platform,
{
    let now = cx.now();
    let left = ticket.left(now).min(cx.time_to_answer(now));
    let is_last = tries.ran + 1 >= ticket.route.max_upstreams;
    if !ticket.may_repeat() || is_last {
        return left;
    }
    let silence = ticket.route.goal.mul_f64(SILENCE_GOALS);
    left.min(silence.max(left.mul_f64(SILENCE_PART)))
}

/// Takes a repeated send from the budget of the request's service.
pub(super) fn take_repeat<P>(cx: &Cx<P>, ticket: &Ticket) -> bool
where
    P: Platform,
{
    let instances = cx.instance_count();
    let mut budget = cx.budget.borrow_mut();
    budget.take_repeat(&ticket.service, instances, cx.now())
}

/// Passes an answer on; nothing if the request is to be sent again.
async fn answered<P>(
    cx: &Rc<Cx<P>>,
    ticket: &Rc<Ticket>,
    tries: &mut Tries,
    answer: Box<Answer>,
    mut sent: Sent<P>,
) -> Result<Option<Response<BoxBody>>, Refusal>
where
    P: Platform,
{
    let upstream = sent.upstream.id.clone();
    let is_error = answer.status.is_server_error();
    if is_error {
        sent.judge(Outcome::Bad);
    }
    if is_error && ticket.route.kind == RouteKind::Idempotent {
        let refusal = Refusal::failed("the upstream failed");
        if tries.failed(cx, ticket, &upstream, refusal).is_ok() {
            return Ok(None);
        }
    }
    if ticket.is_stream() && answer.status == StatusCode::OK {
        return Ok(Some(relay::stream(cx, ticket, answer, sent, tries.ran + 1)));
    }
    match relay::whole(cx, ticket, answer, sent).await {
        Ok(res) => Ok(Some(res)),
        Err(refusal) => {
            tries.failed(cx, ticket, &upstream, refusal)?;
            Ok(None)
        }
    }
}
