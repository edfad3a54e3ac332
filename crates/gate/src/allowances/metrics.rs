//! Metrics of allowances.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use comfreyweir_allowance::ledger::Levels;

/// Why tokens could not be had.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
pub(super) enum Cause {
    /// All gates were asked, or are believed to be empty: the workspace is over its rate.
    OverRate,
    /// Another gate did not answer, so the workspace may be inside its rate.
    PeerSilent,
    /// A part of the allowance belongs to no gate, so the workspace may be inside its rate.
    ShareUnassigned,
    /// This gate may not use its share, so the workspace may be inside its rate.
    ShareLapsed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct RefusalLabel {
    workspace: String,
    cause: Cause,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct LevelLabel {
    workspace: String,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
enum Kind {
    Cap,
    Free,
    Committed,
    Lent,
    Borrowed,
}

/// Metrics of allowances. Clones share the values.
#[derive(Clone, Default)]
pub(super) struct AllowanceMetrics {
    refused: Family<RefusalLabel, Counter>,
    lost: Counter,
    tokens: Family<LevelLabel, Gauge>,
    weight: Gauge,
}

impl AllowanceMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("comfreyweir_gate_allowance");
        registry.register(
            "refused",
            "Requests refused for lack of tokens, by cause; all causes but OverRate may be wrong",
            self.refused.clone(),
        );
        registry.register(
            "reservations_lost",
            "Reservations that were no longer covered when their request was to be sent",
            self.lost.clone(),
        );
        registry.register("tokens", "Tokens at this gate by kind", self.tokens.clone());
        registry.register(
            "weight_ppm",
            "Part of every allowance that this gate may use, in parts per million",
            self.weight.clone(),
        );
    }

    /// Counts a refusal. The workspace is known, so the number of series is bounded.
    pub(super) fn refused(&self, workspace: &str, cause: Cause) {
        let label = RefusalLabel {
            workspace: workspace.to_owned(),
            cause,
        };
        self.refused.get_or_create(&label).inc();
    }

    pub(super) fn lost(&self) {
        self.lost.inc();
    }

    pub(super) fn set_weight(&self, weight: u32) {
        self.weight.set(i64::from(weight));
    }

    pub(super) fn set_levels(&self, workspace: &str, levels: Levels) {
        let kinds = [
            (Kind::Cap, levels.cap),
            (Kind::Free, levels.level),
            (Kind::Committed, levels.committed),
            (Kind::Lent, levels.lent),
            (Kind::Borrowed, levels.borrowed),
        ];
        for (kind, tokens) in kinds {
            let label = LevelLabel {
                workspace: workspace.to_owned(),
                kind,
            };
            self.tokens.get_or_create(&label).set(tokens);
        }
    }
}
