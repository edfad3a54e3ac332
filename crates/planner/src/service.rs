//! Answers to other processes of the system.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use capnp::{Error, text};
use comfreyweir_clock::Clock;
use comfreyweir_peer::{
    peer_capnp::{demand, planner, usage, view},
    wire_millis,
};
use comfreyweir_placement::{
    demand::{GateDemand, WaitingRequests},
    view::View,
};

use crate::{context::Cx, held_cell::Hold, status};

/// Longest time that an exchange waits.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// The planner's peer interface.
pub(crate) struct Service {
    cx: Rc<Cx>,
}

impl Service {
    pub(crate) fn new(cx: Rc<Cx>) -> Self {
        Self { cx }
    }
}

impl planner::Server for Service {
    async fn holder(
        self: Rc<Self>,
        params: planner::HolderParams,
        mut results: planner::HolderResults,
    ) -> Result<(), Error> {
        let cell = params.get()?.get_cell()?.to_string()?;
        let known = self.cx.cell(&cell).map(|c| *c.known.borrow());
        let known = known.unwrap_or_default();
        let mut answer = results.get();
        answer.set_term(known.term);
        if let Some(address) = known.address {
            answer.set_address(address.to_string().as_str());
        }
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: planner::ExchangeParams,
        mut results: planner::ExchangeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let cell = params.get_cell()?.to_string()?;
        let gate = params.get_gate()?.to_string()?;
        let hold = self.hold(&cell)?;
        self.take_demand(&hold, &gate, params)?;
        let known = if params.get_known_term() == hold.holder.borrow().term() {
            params.get_known_version()
        } else {
            0
        };
        let wait = Duration::from_millis(params.get_wait_ms().into()).min(LONGEST_WAIT);
        hold.board.changed(known, wait).await;
        // The cell may have been lost meanwhile.
        let hold = self.hold(&cell)?;
        let term = hold.holder.borrow().term();
        let (version, latest) = hold.board.latest();
        let mut answer = results.get().init_view();
        answer.set_term(term);
        answer.set_version(version);
        write_view(answer, &latest, version == known)
    }

    async fn status(
        self: Rc<Self>,
        _params: planner::StatusParams,
        mut results: planner::StatusResults,
    ) -> Result<(), Error> {
        let page = status::page(&self.cx).to_string();
        results.get().set_json(page.as_str());
        Ok(())
    }
}

impl Service {
    fn hold(&self, cell: &str) -> Result<Rc<Hold>, Error> {
        let hold = self.cx.cell(cell).and_then(|c| c.active_hold());
        hold.ok_or_else(|| Error::failed(format!("this planner does not hold cell {cell}")))
    }

    fn take_demand(
        &self,
        hold: &Hold,
        gate: &str,
        params: planner::exchange_params::Reader<'_>,
    ) -> Result<(), Error> {
        let now = self.cx.clock.now();
        let demand = read_demand(params.get_demand()?, now)?;
        let usage = read_usage(params.get_usage()?)?;
        let mut holder = hold.holder.borrow_mut();
        holder.set_usage(gate, &usage, now);
        if holder.set_demand(gate, demand, now) {
            hold.decide.notify_one();
        }
        Ok(())
    }
}

fn read_demand(
    list: capnp::struct_list::Reader<'_, demand::Owned>,
    now: Instant,
) -> Result<GateDemand, Error> {
    let mut demand = GateDemand::new();
    for entry in list {
        let mut workspaces = BTreeMap::new();
        for waiting in entry.get_workspaces()? {
            let deadline = Duration::from_millis(waiting.get_deadline_ms().into());
            let count = WaitingRequests {
                count: waiting.get_waiting(),
                deadline: now + deadline,
            };
            workspaces.insert(owned(waiting.get_workspace()?)?, count);
        }
        demand.insert(owned(entry.get_artifact()?)?, workspaces);
    }
    Ok(demand)
}

fn read_usage(
    list: capnp::struct_list::Reader<'_, usage::Owned>,
) -> Result<BTreeMap<String, u32>, Error> {
    let mut usage = BTreeMap::new();
    for entry in list {
        usage.insert(owned(entry.get_artifact()?)?, entry.get_running());
    }
    Ok(usage)
}

fn owned(text: text::Reader<'_>) -> Result<String, Error> {
    Ok(text.to_string()?)
}

fn write_view(mut answer: view::Builder<'_>, view: &View, unchanged: bool) -> Result<(), Error> {
    answer.set_unchanged(unchanged);
    if !unchanged {
        let mut replicas = answer.reborrow().init_replicas(count(view.replicas.len())?);
        for (index, replica) in (0..).zip(&view.replicas) {
            let mut entry = replicas.reborrow().get(index);
            entry.set_upstream(replica.upstream.as_str());
            entry.set_artifact(replica.artifact.as_str());
            entry.set_ready(replica.ready);
            entry.set_ready_in_ms(wire_millis(replica.ready_in));
        }
    }
    let mut loads = answer.reborrow().init_loads(count(view.loads.len())?);
    for (index, load) in (0..).zip(&view.loads) {
        let mut entry = loads.reborrow().get(index);
        entry.set_upstream(load.upstream.as_str());
        entry.set_running(load.running);
        entry.set_waiting(load.waiting);
        entry.set_age_ms(wire_millis(load.age));
        entry.set_reachable(load.reachable);
        entry.set_leaving(load.leaving);
    }
    let mut refusals = answer.init_refusals(count(view.refusals.len())?);
    for (index, refusal) in (0..).zip(&view.refusals) {
        let mut entry = refusals.reborrow().get(index);
        entry.set_artifact(refusal.artifact.as_str());
        entry.set_ready_in_ms(wire_millis(refusal.ready_in));
        entry.set_reason(refusal.reason.as_str());
    }
    Ok(())
}

fn count(len: usize) -> Result<u32, Error> {
    u32::try_from(len).map_err(|_| Error::failed("the view is too large".to_owned()))
}
