//! Requests that wait for tokens.

use comfreyweir_allowance::{ledger::WorkspaceKey, token_rate::TokenRateEstimate};
use comfreyweir_clock::Clock;

use super::shared::AllowanceState;

/// A request that waits for tokens. Its cost counts as waiting until this is dropped.
pub(super) struct TokenWaiter<'a, C> {
    state: &'a AllowanceState<C>,
    key: WorkspaceKey,
    pub(super) cost: u64,
    /// Tokens that the requests queued before it need.
    pub(super) tokens_ahead: u64,
}

impl<'a, C> TokenWaiter<'a, C>
where
    C: Clock,
{
    pub(super) fn new(state: &'a AllowanceState<C>, key: WorkspaceKey, cost: u64) -> Self {
        let mut waiting = state.waiting_tokens.borrow_mut();
        let tokens = waiting.entry(key).or_default();
        let tokens_ahead = *tokens;
        if tokens_ahead == 0 {
            let token_rate = TokenRateEstimate::begin(state.now());
            state.token_rates.borrow_mut().insert(key, token_rate);
        }
        *tokens += cost;
        Self {
            state,
            key,
            cost,
            tokens_ahead,
        }
    }
}

impl<C> Drop for TokenWaiter<'_, C> {
    fn drop(&mut self) {
        let mut waiting = self.state.waiting_tokens.borrow_mut();
        if let Some(tokens) = waiting.get_mut(&self.key) {
            *tokens = tokens.saturating_sub(self.cost);
            if *tokens == 0 {
                self.state.token_rates.borrow_mut().remove(&self.key);
            }
        }
    }
}
