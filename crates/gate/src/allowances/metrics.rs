//! Metrics of allowances.

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use comfreyweir_allowance::ledger::Levels;

/// Why tokens could not be reserved.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
pub(super) enum RefusalCause {
    /// All gates were asked, or are estimated to have no free tokens: the workspace is over its
    /// rate.
    OverRate,
    /// Another gate did not answer, so the workspace may be within its rate.
    PeerSilent,
    /// A part of the allowance is assigned to no gate, so the workspace may be within its rate.
    ShareUnassigned,
    /// This gate has no valid share, so the workspace may be within its rate.
    ShareLapsed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct RefusalLabel {
    workspace: String,
    cause: RefusalCause,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct LevelLabel {
    workspace: String,
    kind: TokenKind,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelValue)]
enum TokenKind {
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

    /// Counts a refusal. `workspace` must be a configured one: that bounds the number of series.
    pub(super) fn count_refusal(&self, workspace: &str, cause: RefusalCause) {
        let label = RefusalLabel {
            workspace: workspace.to_owned(),
            cause,
        };
        self.refused.get_or_create(&label).inc();
    }

    pub(super) fn count_lost_reservation(&self) {
        self.lost.inc();
    }

    pub(super) fn set_weight(&self, weight: u32) {
        self.weight.set(i64::from(weight));
    }

    pub(super) fn set_levels(&self, workspace: &str, levels: Levels) {
        let kinds = [
            (TokenKind::Cap, levels.cap),
            (TokenKind::Free, levels.level),
            (TokenKind::Committed, levels.committed),
            (TokenKind::Lent, levels.lent),
            (TokenKind::Borrowed, levels.borrowed),
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
