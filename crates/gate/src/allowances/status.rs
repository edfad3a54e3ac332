//! Metrics and the status section of allowances.

use comfreyweir_clock::Clock;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};

use super::{SharedAllowances, borrower::Lenders};

impl<C, L> SharedAllowances<C, L>
where
    C: Clock,
    L: Lenders,
{
    /// Adds the metrics of allowances to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.state.metrics.register(registry);
    }

    /// Updates the gauges of token levels. Must be called before metrics are read.
    pub fn update_metrics(&self) {
        let mut ledger = self.state.ledger.borrow_mut();
        ledger.refresh(self.state.now());
        for (workspace, levels) in ledger.levels() {
            self.state.metrics.set_levels(workspace, levels);
        }
        self.state.metrics.set_weight(ledger.weight());
    }

    /// The allowance section of the status page.
    pub fn status(&self) -> Value {
        let now = self.state.now();
        let mut ledger = self.state.ledger.borrow_mut();
        ledger.refresh(now);
        let valid_until = ledger.valid_until();
        let left = valid_until.map(|until| until.saturating_duration_since(now).as_secs());
        let lenders = self.state.lenders.borrow();
        let others: Vec<Value> = lenders
            .iter()
            .map(|lender| json!({ "gate": lender.addr, "weight_ppm": lender.weight }))
            .collect();
        let workspaces: serde_json::Map<String, Value> = ledger
            .levels()
            .map(|(name, levels)| {
                let levels = json!({
                    "cap": levels.cap,
                    "free": levels.level,
                    "committed": levels.committed,
                    "lent": levels.lent,
                    "borrowed": levels.borrowed,
                });
                (name.to_owned(), levels)
            })
            .collect();
        json!({
            "weight_ppm": ledger.weight(),
            "lease_left_s": left,
            "other_gates": others,
            "workspaces": workspaces,
        })
    }
}
