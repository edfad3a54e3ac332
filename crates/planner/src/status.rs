//! JSON status of the planner for operators.

use comfreyweir_clock::Clock;
use serde_json::{Value, json};

use crate::{cell::CellState, context::PlannerContext};

/// Status of all cells: holder, lease, plan, engines and refusals.
pub(crate) fn to_json(cx: &PlannerContext) -> Value {
    let cells = cx.cells.borrow();
    let cells: Vec<Value> = cells.values().map(|cell| cell_json(cx, cell)).collect();
    json!({
        "instance": cx.identity.name,
        "revision": cx.follower.current().revision,
        "cells": cells,
    })
}

fn cell_json(cx: &PlannerContext, cell: &CellState) -> Value {
    let known = *cell.known_holder.borrow();
    let mut status = json!({
        "cell": cell.name,
        "holder": known.address,
        "term": known.term,
        "held_here": false,
    });
    let Some(held) = cell.active_cell() else {
        return status;
    };
    let now = cx.clock.now();
    let holder = held.holder.borrow();
    let (version, view) = held.view.latest();
    let lease_left_ms = holder
        .ordering_deadline()
        .map(|until| until.saturating_duration_since(now).as_millis());
    let engines: Vec<Value> = holder
        .servers()
        .iter()
        .map(|(name, server)| {
            json!({
                "upstream": name,
                "zone": server.config.zone,
                "reachable": server.is_reachable(now),
                "leaving": server.is_leaving(),
                "checks_fencing": server.config.checks_fencing,
                "fenced_term": server.fenced_term,
                "memory_mb": server.memory_mb(),
                "charged_mb": holder.plan().charged_mb(name),
            })
        })
        .collect();
    let refusals: Vec<Value> = view
        .refusals
        .iter()
        .map(|r| {
            json!({
                "artifact": r.artifact,
                "ready_in_ms": r.ready_in.as_millis(),
                "reason": r.reason,
            })
        })
        .collect();
    status["held_here"] = json!(true);
    status["lease_left_ms"] = json!(lease_left_ms);
    status["view_version"] = json!(version);
    status["plan"] = json!(holder.plan().reservations);
    status["engines"] = json!(engines);
    status["refusals"] = json!(refusals);
    status
}
