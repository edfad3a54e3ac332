//! Log lines of the holder's decisions on prompt parts.

use comfreyweir_fleet::quarantine::{LedgerEvent, PartId};

/// Logs a decision.
pub(super) fn log_quarantine(event: LedgerEvent) {
    let text = |part: PartId| part.to_string();
    match event {
        LedgerEvent::Suspect { part, ends, begun } => {
            let part = text(part);
            spdlog::warn!("prompt part is suspect: upstreams ended under it", kv: {
                part = part.as_str(), ends, begun
            });
        }
        LedgerEvent::Cleared { part, ends, begun } => {
            let part = text(part);
            spdlog::info!("prompt part is cleared by begun answers", kv: {
                part = part.as_str(), ends, begun
            });
        }
        LedgerEvent::Undecided { part, outcome } => {
            let (part, outcome) = (text(part), format!("{outcome:?}"));
            spdlog::info!("trial of a prompt part told nothing of it", kv: {
                part = part.as_str(), outcome = outcome.as_str()
            });
        }
        LedgerEvent::Tried {
            part,
            outcome,
            failed,
        } => {
            let (part, outcome) = (text(part), format!("{outcome:?}"));
            spdlog::info!("trial of a prompt part has ended", kv: {
                part = part.as_str(), outcome = outcome.as_str(), failed
            });
        }
        LedgerEvent::Released { part } => {
            let part = text(part);
            spdlog::info!("prompt part was released", kv: { part = part.as_str() });
        }
    }
}
