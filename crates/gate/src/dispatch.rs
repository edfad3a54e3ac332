//! From a checked request to an engine that may be called: tokens, queue, replica and charge.

use std::{net::SocketAddr, rc::Rc};

use actix_http::StatusCode;

use crate::{
    Code, Refusal,
    allowances::{Allowances, Charge, Reservation, Shortage},
    auth,
    completion::Job,
    context::Cx,
    placement_view::PlacementView,
};

/// The charge type of an allowance implementation.
type ChargeOf<A> = <<A as Allowances>::Reservation as Reservation>::Charge;

/// Leave to call an engine once.
pub(crate) struct Run<A>
where
    A: Allowances,
{
    /// Name of the engine.
    pub(crate) upstream: String,
    /// Address of the engine.
    pub(crate) addr: SocketAddr,
    charge: ChargeOf<A>,
}

impl<A> Run<A>
where
    A: Allowances,
{
    /// Ends the run with the tokens that were used.
    pub(crate) fn settle(self, used: u64) {
        self.charge.settle(used);
    }

    /// Ends the run with the engine's figures; without them the whole charge stands.
    pub(crate) fn finish(self, used: Option<u64>) {
        if let Some(used) = used {
            self.charge.settle(used);
        }
    }
}

/// Waits for tokens and a replica, and charges the tokens.
pub(crate) async fn acquire<A, V>(
    cx: &Rc<Cx<A, V>>,
    job: &Job,
    done: u64,
    avoid: &[String],
) -> Result<Run<A>, Refusal>
where
    A: Allowances,
    V: PlacementView,
{
    let workspace = &job.identity.workspace;
    let cost = job.ask.cost(done);
    let reserved = cx.allowances.reserve(workspace, cost, job.deadline).await;
    let reservation = reserved.map_err(shortage)?;
    let _waiting = cx
        .view
        .wait_for(&job.ask.served_name, workspace, job.deadline);
    let deadline = tokio::time::Instant::from_std(job.deadline);
    loop {
        if let Some((upstream, addr)) = ready_replica(cx, &job.ask.served_name, avoid) {
            auth::recheck(&cx.follower.current(), &job.identity)?;
            let charge = reservation.charge().map_err(shortage)?;
            return Ok(Run {
                upstream,
                addr,
                charge,
            });
        }
        if tokio::time::timeout_at(deadline, cx.view.changed())
            .await
            .is_err()
        {
            return Err(crate::completion::late());
        }
    }
}

fn ready_replica<A, V>(
    cx: &Cx<A, V>,
    served_name: &str,
    avoid: &[String],
) -> Option<(String, SocketAddr)>
where
    V: PlacementView,
{
    let snapshot = cx.follower.current();
    let replicas = cx.view.replicas(served_name);
    let usable = replicas
        .into_iter()
        .find(|r| r.ready && !avoid.contains(&r.upstream) && !cx.view.is_leaving(&r.upstream))?;
    let addr = snapshot.catalog.upstreams.get(&usable.upstream)?.address;
    Some((usable.upstream, addr))
}

/// Refusal when tokens cannot be reserved.
pub(crate) fn shortage(shortage: Shortage) -> Refusal {
    match shortage {
        Shortage::RetryAfter(after) => Refusal::not_run(
            StatusCode::TOO_MANY_REQUESTS,
            Code::RateLimited,
            "the workspace has used its rate and burst",
        )
        .retry_after(after),
        Shortage::ExceedsBurst => Refusal::not_run(
            StatusCode::BAD_REQUEST,
            Code::ExceedsBurst,
            "the request costs more than the burst of its workspace: shorten the prompt or \
             lower `max_tokens`",
        ),
        Shortage::UnknownWorkspace => Refusal::not_run(
            StatusCode::FORBIDDEN,
            Code::NotAllowed,
            "the workspace is not configured",
        ),
    }
}
