//! Requests that wait for tokens.

use comfreyweir_allowance::{ledger::WorkspaceKey, token_rate::TokenRateEstimate};
use comfreyweir_clock::Clock;

use super::shared::State;

/// A request that waits for tokens, counted until it is dropped.
pub(super) struct Waiting<'a, C> {
    state: &'a State<C>,
    key: WorkspaceKey,
    pub(super) cost: u64,
    /// Tokens that the requests before it wait for.
    pub(super) ahead: u64,
}

impl<'a, C> Waiting<'a, C>
where
    C: Clock,
{
    pub(super) fn new(state: &'a State<C>, key: WorkspaceKey, cost: u64) -> Self {
        let mut waiting = state.waiting.borrow_mut();
        let tokens = waiting.entry(key).or_default();
        let ahead = *tokens;
        if ahead == 0 {
            let pace = TokenRateEstimate::begin(state.now());
            state.paces.borrow_mut().insert(key, pace);
        }
        *tokens += cost;
        Self {
            state,
            key,
            cost,
            ahead,
        }
    }
}

impl<C> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        let mut waiting = self.state.waiting.borrow_mut();
        if let Some(tokens) = waiting.get_mut(&self.key) {
            *tokens = tokens.saturating_sub(self.cost);
            if *tokens == 0 {
                self.state.paces.borrow_mut().remove(&self.key);
            }
        }
    }
}
