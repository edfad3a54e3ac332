//! Admission of a validated request to an engine: reserves tokens, queues for a replica and charges
//! the tokens.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use actix_http::StatusCode;

use crate::{
    Refusal, RefusalCode,
    allowances::{Allowances, Charge, Reservation, Shortage},
    auth,
    completion::CompletionJob,
    context::GateContext,
    handler,
    placement_view::{ArtifactUse, PlacementView},
    queue::{EnqueueRequest, ReplicaAssignment, RunningCall},
};

/// The charge type of an allowance implementation.
type ChargeOf<A> = <<A as Allowances>::Reservation as Reservation>::Charge;

/// Permission to call an engine once, with the request's tokens charged. Dropping it without
/// settling keeps the whole charge.
pub(crate) struct EngineCall<A>
where
    A: Allowances,
{
    /// Name of the engine.
    pub(crate) upstream: String,
    /// Address of the engine.
    pub(crate) addr: SocketAddr,
    /// Counts the call as running on the engine until it is dropped.
    pub(crate) running_call: RunningCall,
    charge: ChargeOf<A>,
    _in_use: ArtifactUse,
}

impl<A> EngineCall<A>
where
    A: Allowances,
{
    /// Records how many tokens the engine has used so far.
    pub(crate) fn progress(&mut self, used: u64) {
        self.charge.progress(used);
    }

    /// Ends the call, charges the `used` tokens and returns the rest.
    pub(crate) fn settle(self, used: u64) {
        self.charge.settle(used);
    }

    /// Like [`Self::settle`], with the usage that the engine reported. Without it, the whole charge
    /// stands.
    pub(crate) fn finish(self, used: Option<u64>) {
        if let Some(used) = used {
            self.charge.settle(used);
        }
    }
}

/// Waits for tokens and a replica, then charges the tokens. The request's cost leaves out the
/// `delivered_tokens` output tokens that earlier calls have already sent to the caller.
pub(crate) async fn acquire<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: &CompletionJob,
    delivered_tokens: u64,
    is_retry: bool,
) -> Result<EngineCall<A>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let workspace = &job.identity.workspace;
    let cost = job.request.cost(delivered_tokens);
    let reserved = cx.allowances.reserve(workspace, cost, job.deadline).await;
    let reservation = reserved.map_err(shortage_refusal)?;
    let wait_start = Instant::now();
    let assignment = wait_for_replica(cx, job, cost, is_retry).await?;
    let snapshot = cx.follower.current();
    cx.metrics
        .observe_wait(workspace, &snapshot.catalog, wait_start.elapsed());
    // The key may have been withdrawn while the request waited.
    handler::check_config_freshness(cx)?;
    auth::recheck(&snapshot, &job.identity)?;
    let charge = reservation.charge().map_err(shortage_refusal)?;
    Ok(EngineCall {
        upstream: assignment.upstream,
        addr: assignment.addr,
        running_call: assignment.running_call,
        charge,
        _in_use: cx.view.begin_use(&job.request.served_name),
    })
}

async fn wait_for_replica<A, V>(
    cx: &Rc<GateContext<A, V>>,
    job: &CompletionJob,
    cost: u64,
    is_retry: bool,
) -> Result<ReplicaAssignment, Refusal>
where
    V: PlacementView,
{
    let request = enqueue_request(cx, job, cost, is_retry);
    let mut entry = cx.queues.enqueue(request, Instant::now())?;
    cx.queues.dispatch(cx);
    if let Some(decision) = entry.try_decision() {
        return decision;
    }
    // Only requests that cannot be sent at once are reported to the planner as demand.
    let workspace = &job.identity.workspace;
    let _waiting = cx
        .view
        .wait_for(&job.request.served_name, workspace, job.deadline);
    entry.wait_for_decision(job.deadline).await
}

fn enqueue_request<A, V>(
    cx: &GateContext<A, V>,
    job: &CompletionJob,
    cost: u64,
    is_retry: bool,
) -> EnqueueRequest {
    let snapshot = cx.follower.current();
    let workspace = snapshot.catalog.workspaces.get(&job.identity.workspace);
    EnqueueRequest {
        served_name: job.request.served_name.clone(),
        identity: job.identity.clone(),
        weight: workspace.map_or(1, |w| w.weight),
        cost,
        is_stream: job.request.stream,
        is_retry,
        deadline: job.deadline,
        prefixes: job.request.prefixes.clone(),
    }
}

/// Maps a failed token reservation or charge to the refusal that the caller gets.
pub(crate) fn shortage_refusal(shortage: Shortage) -> Refusal {
    match shortage {
        Shortage::RetryAfter(after) => Refusal::not_run(
            StatusCode::TOO_MANY_REQUESTS,
            RefusalCode::RateLimited,
            "the workspace has used its rate and burst",
        )
        .retry_after(after),
        Shortage::ExceedsBurst => Refusal::not_run(
            StatusCode::BAD_REQUEST,
            RefusalCode::ExceedsBurst,
            "the request costs more than the burst of its workspace: shorten the prompt or \
             lower `max_tokens`",
        ),
        Shortage::UnknownWorkspace => Refusal::not_run(
            StatusCode::FORBIDDEN,
            RefusalCode::NotAllowed,
            "the workspace is not configured",
        ),
    }
}
