//! The token bucket of one workspace at one gate.
//!
//! Amounts are in microtokens (millionths of a token), so that a weight in parts per million times
//! a whole number of tokens is exact.
//!
//! Invariant: `level + reserved + outstanding <= cap`. The sum grows only by refill and shrinks
//! with every token that an upstream uses, so the tokens used in any interval are at most the cap
//! plus the refill of the interval. This holds whether usage is dated at the time the request was
//! sent or at the time the tokens were generated.

use std::time::Instant;

use crate::drift::CLOCK_DRIFT_PER_MILLE;

pub(crate) const MICROTOKENS_PER_TOKEN: i64 = 1_000_000;
/// Weight of a gate that owns every allowance in full, in parts per million.
pub const FULL_WEIGHT: u32 = 1_000_000;
/// Upper limit of burst (tokens) and rate (tokens per second), so that the arithmetic cannot
/// overflow.
const MAX_TOKENS: u64 = 1_000_000_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
const PER_MILLE: u128 = 1_000;

/// Allowance of a workspace: rate and burst, summed over all gates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// Refill, in tokens per second.
    pub rate: u64,
    /// Tokens that may be used at once after an idle period.
    pub burst: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate_limit: RateLimit,
    /// Part of rate and burst that this gate owns, in parts per million.
    weight: u32,
    /// Part of the burst that is lent to other gates.
    lent: i64,
    /// Burst capacity that is borrowed from other gates.
    borrowed: i64,
    /// Free tokens; negative when upstreams used more than was charged.
    level: i64,
    /// Tokens reserved for waiting requests.
    reserved: i64,
    /// Tokens that were charged for running requests and are not used yet.
    outstanding: i64,
    refilled_at: Instant,
    /// Remainder of the refill below one microtoken, carried over to the next refill.
    refill_remainder: u128,
}

impl Bucket {
    /// Creates a bucket with weight zero and no tokens.
    pub(crate) fn empty(rate_limit: RateLimit, now: Instant) -> Self {
        Self {
            rate_limit: clamp(rate_limit),
            weight: 0,
            lent: 0,
            borrowed: 0,
            level: 0,
            reserved: 0,
            outstanding: 0,
            refilled_at: now,
            refill_remainder: 0,
        }
    }

    pub(crate) fn rate_limit(&self) -> RateLimit {
        self.rate_limit
    }

    /// Burst capacity of this bucket: what it owns, less what is lent, plus what is borrowed.
    pub(crate) fn cap(&self) -> i64 {
        self.owned() - self.lent + self.borrowed
    }

    pub(crate) fn level(&self) -> i64 {
        self.level
    }

    pub(crate) fn lent(&self) -> i64 {
        self.lent
    }

    pub(crate) fn borrowed(&self) -> i64 {
        self.borrowed
    }

    /// Tokens reserved for waiting requests or charged for running ones.
    pub(crate) fn committed(&self) -> i64 {
        self.reserved + self.outstanding
    }

    /// Smallest weight at which committed and lent tokens still fit below the cap.
    pub(crate) fn least_weight(&self) -> u32 {
        let needed = self.committed() + self.lent - self.borrowed;
        let burst = i64::try_from(self.rate_limit.burst).unwrap_or(i64::MAX);
        if needed <= 0 || burst == 0 {
            return 0;
        }
        let weight = (needed + burst - 1) / burst;
        u32::try_from(weight)
            .unwrap_or(FULL_WEIGHT)
            .min(FULL_WEIGHT)
    }

    /// Adds the refill up to `now`, limited by the cap.
    pub(crate) fn advance(&mut self, now: Instant) {
        let refill = self.take_refill(now);
        let headroom = self.headroom();
        if headroom > refill {
            self.level += refill;
        } else {
            self.refill_remainder = 0;
            self.adjust_level(headroom);
        }
    }

    /// Sets the weight. Free tokens above the new cap are dropped; none are added.
    pub(crate) fn set_weight(&mut self, weight: u32, now: Instant) {
        self.advance(now);
        self.weight = weight;
        self.drop_excess();
    }

    /// Sets rate and burst. Free tokens above the new cap are dropped; none are added.
    pub(crate) fn set_rate_limit(&mut self, rate_limit: RateLimit, now: Instant) {
        self.advance(now);
        self.rate_limit = clamp(rate_limit);
        self.drop_excess();
    }

    /// Adds the full burst of `weight`, limited by the cap. Only for weight that no gate has ever
    /// owned, whose tokens thus cannot have been used.
    pub(crate) fn fill_unused(&mut self, weight: u32) {
        let unused = weighted_microtokens(weight, self.rate_limit.burst);
        self.level += unused.min(self.headroom().max(0));
    }

    /// Moves free tokens to a waiting request.
    pub(crate) fn reserve(&mut self, amount: i64) {
        self.level -= amount;
        self.reserved += amount;
    }

    /// Returns tokens of a waiting request. Tokens above the cap are dropped.
    pub(crate) fn release(&mut self, amount: i64) {
        self.reserved -= amount;
        self.level += amount;
        self.drop_excess();
    }

    /// Whether committed tokens still fit below the cap, which falls when the share lapses, a loan
    /// ends or the burst is lowered.
    pub(crate) fn covers_committed(&self) -> bool {
        self.committed() <= self.cap()
    }

    /// Moves tokens of a waiting request to the outstanding ones, when the request is sent.
    pub(crate) fn charge(&mut self, amount: i64) {
        self.reserved -= amount;
        self.outstanding += amount;
    }

    /// Removes outstanding tokens that an upstream has used.
    pub(crate) fn consume(&mut self, amount: i64) {
        self.outstanding -= amount;
    }

    /// Removes free tokens for usage beyond what was charged; the level may become negative.
    pub(crate) fn consume_uncharged(&mut self, amount: i64) {
        self.level -= amount;
    }

    /// Returns outstanding tokens that will not be used.
    pub(crate) fn refund(&mut self, amount: i64) {
        self.outstanding -= amount;
        self.level += amount;
        self.drop_excess();
    }

    pub(crate) fn lend(&mut self, amount: i64) {
        self.level -= amount;
        self.lent += amount;
    }

    /// Counts capacity as lent without taking tokens for it; free tokens above the lower cap are
    /// dropped.
    pub(crate) fn lend_capacity(&mut self, amount: i64) {
        self.lent += amount;
        self.drop_excess();
    }

    /// Ends a loan to another gate; `unused` tokens of it are returned.
    pub(crate) fn end_lent_loan(&mut self, amount: i64, unused: i64) {
        self.lent -= amount;
        self.level += unused;
        self.drop_excess();
    }

    pub(crate) fn borrow(&mut self, amount: i64) {
        self.borrowed += amount;
        self.level += amount;
    }

    /// Ends a loan from another gate. Free tokens above the lower cap are dropped.
    pub(crate) fn end_borrowed_loan(&mut self, amount: i64) {
        self.borrowed -= amount;
        self.drop_excess();
    }

    /// Tokens that would exceed the cap if a borrowed loan of `amount` ended now.
    pub(crate) fn excess_without_loan(&self, amount: i64) -> i64 {
        (amount - self.headroom()).max(0)
    }

    fn owned(&self) -> i64 {
        weighted_microtokens(self.weight, self.rate_limit.burst)
    }

    /// Tokens that may be added before the cap is reached; negative above the cap.
    fn headroom(&self) -> i64 {
        self.cap() - self.level - self.committed()
    }

    fn drop_excess(&mut self) {
        self.adjust_level(self.headroom().min(0));
    }

    /// Adds `change` to the level. A negative change takes only free tokens and never makes the
    /// level negative.
    fn adjust_level(&mut self, change: i64) {
        if change >= 0 {
            self.level += change;
        } else if self.level > 0 {
            self.level = (self.level + change).max(0);
        }
    }

    fn take_refill(&mut self, now: Instant) -> i64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        // Refills more slowly by the allowed drift, because this clock may run fast.
        let slowed_per_mille = PER_MILLE - u128::from(CLOCK_DRIFT_PER_MILLE);
        let per_second =
            u128::from(self.weight) * u128::from(self.rate_limit.rate) * slowed_per_mille;
        let refill = per_second * elapsed.as_nanos() + self.refill_remainder;
        self.refill_remainder = refill % (NANOS_PER_SECOND * PER_MILLE);
        i64::try_from(refill / (NANOS_PER_SECOND * PER_MILLE)).unwrap_or(i64::MAX)
    }
}

fn clamp(rate_limit: RateLimit) -> RateLimit {
    RateLimit {
        rate: rate_limit.rate.min(MAX_TOKENS),
        burst: rate_limit.burst.min(MAX_TOKENS),
    }
}

/// `weight` (parts per million) of `tokens`, in microtokens.
pub(crate) fn weighted_microtokens(weight: u32, tokens: u64) -> i64 {
    i64::from(weight) * i64::try_from(tokens).unwrap_or(i64::MAX)
}
