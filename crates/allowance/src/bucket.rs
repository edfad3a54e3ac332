//! The token bucket of one workspace at one gate.
//!
//! Amounts are millionths of a token, so that a weight in parts per million times a whole number
//! of tokens is exact.
//!
//! The bucket keeps `level + held + outstanding <= cap`. That sum grows only by refill and falls
//! by every token that an upstream uses, so the tokens used in any interval are at most the cap
//! plus the refill of the interval, whether they are dated when the request was sent or when
//! they were generated.

use std::time::Instant;

use crate::drift::CLOCK_DRIFT_PER_MILLE;

/// Millionths in one token.
pub(crate) const MICRO: i64 = 1_000_000;
/// The whole of every allowance, in parts per million.
pub const WHOLE: u32 = 1_000_000;
/// Largest burst and rate that the arithmetic takes, in tokens and tokens a second.
const MAX_TOKENS: u64 = 1_000_000_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;
const PER_MILLE: u128 = 1_000;

/// Allowance of a workspace over all gates together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens that may be used at once.
    pub burst: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    terms: Terms,
    /// Part of the terms that this gate owns, in parts per million.
    weight: u32,
    /// Burst that is lent to other gates.
    lent: i64,
    /// Burst that is borrowed from other gates.
    borrowed: i64,
    /// Free tokens; below zero when upstreams used more than was charged.
    level: i64,
    /// Tokens of requests that wait.
    held: i64,
    /// Tokens that were charged and are not used yet.
    outstanding: i64,
    refilled_at: Instant,
    /// Part of the refill below a millionth of a token.
    carry: u128,
}

impl Bucket {
    /// An empty bucket that owns nothing.
    pub(crate) fn empty(terms: Terms, now: Instant) -> Self {
        Self {
            terms: clamp(terms),
            weight: 0,
            lent: 0,
            borrowed: 0,
            level: 0,
            held: 0,
            outstanding: 0,
            refilled_at: now,
            carry: 0,
        }
    }

    pub(crate) fn terms(&self) -> Terms {
        self.terms
    }

    /// Part of the burst that this bucket may hold at once.
    pub(crate) fn cap(&self) -> i64 {
        self.owned() - self.lent + self.borrowed
    }

    /// Free tokens.
    pub(crate) fn level(&self) -> i64 {
        self.level
    }

    pub(crate) fn lent(&self) -> i64 {
        self.lent
    }

    pub(crate) fn borrowed(&self) -> i64 {
        self.borrowed
    }

    pub(crate) fn committed(&self) -> i64 {
        self.held + self.outstanding
    }

    /// Smallest weight at which what is committed and lent still fits.
    pub(crate) fn least_weight(&self) -> u32 {
        let needed = self.committed() + self.lent - self.borrowed;
        let burst = i64::try_from(self.terms.burst).unwrap_or(i64::MAX);
        if needed <= 0 || burst == 0 {
            return 0;
        }
        let weight = (needed + burst - 1) / burst;
        u32::try_from(weight).unwrap_or(WHOLE).min(WHOLE)
    }

    /// Adds the refill up to `now`, and drops what is above the cap.
    pub(crate) fn advance(&mut self, now: Instant) {
        let refill = self.take_refill(now);
        let room = self.room();
        if room > refill {
            self.level += refill;
        } else {
            self.carry = 0;
            self.fill(room);
        }
    }

    /// Changes the owned part. Tokens above the new cap are dropped, none are added.
    pub(crate) fn set_weight(&mut self, weight: u32, now: Instant) {
        self.advance(now);
        self.weight = weight;
        self.clip();
    }

    /// Changes the allowance. Tokens above the new cap are dropped, none are added.
    pub(crate) fn set_terms(&mut self, terms: Terms, now: Instant) {
        self.advance(now);
        self.terms = clamp(terms);
        self.clip();
    }

    /// Fills the bucket with the tokens of a part of the burst that no gate has ever used.
    pub(crate) fn fill_unused(&mut self, weight: u32) {
        let unused = part(weight, self.terms.burst);
        self.level += unused.min(self.room().max(0));
    }

    pub(crate) fn hold(&mut self, amount: i64) {
        self.level -= amount;
        self.held += amount;
    }

    pub(crate) fn release(&mut self, amount: i64) {
        self.held -= amount;
        self.level += amount;
        self.clip();
    }

    /// Whether everything that is committed is still covered.
    pub(crate) fn covers_committed(&self) -> bool {
        self.committed() <= self.cap()
    }

    pub(crate) fn charge(&mut self, amount: i64) {
        self.held -= amount;
        self.outstanding += amount;
    }

    /// Takes tokens that an upstream has used out of what is outstanding.
    pub(crate) fn consume(&mut self, amount: i64) {
        self.outstanding -= amount;
    }

    /// Takes tokens that were used without having been charged.
    pub(crate) fn overuse(&mut self, amount: i64) {
        self.level -= amount;
    }

    /// Returns outstanding tokens that will not be used.
    pub(crate) fn refund(&mut self, amount: i64) {
        self.outstanding -= amount;
        self.level += amount;
        self.clip();
    }

    pub(crate) fn lend(&mut self, amount: i64) {
        self.level -= amount;
        self.lent += amount;
    }

    /// Counts a part of the burst as lent, without tokens.
    pub(crate) fn lend_room(&mut self, amount: i64) {
        self.lent += amount;
        self.clip();
    }

    /// Ends a loan that was granted; `unused` tokens of it come back.
    pub(crate) fn end_lent(&mut self, amount: i64, unused: i64) {
        self.lent -= amount;
        self.level += unused;
        self.clip();
    }

    pub(crate) fn borrow(&mut self, amount: i64) {
        self.borrowed += amount;
        self.level += amount;
    }

    /// Ends a loan that was taken. Tokens that no longer fit are dropped.
    pub(crate) fn end_borrowed(&mut self, amount: i64) {
        self.borrowed -= amount;
        self.clip();
    }

    /// What would no longer fit if a loan of `amount` ended now.
    pub(crate) fn excess_without(&self, amount: i64) -> i64 {
        (amount - self.room()).max(0)
    }

    fn owned(&self) -> i64 {
        part(self.weight, self.terms.burst)
    }

    fn room(&self) -> i64 {
        self.cap() - self.level - self.committed()
    }

    fn clip(&mut self) {
        self.fill(self.room().min(0));
    }

    /// Adds `room`; when it is below zero, takes away free tokens, but makes no debt.
    fn fill(&mut self, room: i64) {
        if room >= 0 {
            self.level += room;
        } else if self.level > 0 {
            self.level = (self.level + room).max(0);
        }
    }

    fn take_refill(&mut self, now: Instant) -> i64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        // The clock may run fast, so the refill runs slow by as much.
        let slowed = PER_MILLE - u128::from(CLOCK_DRIFT_PER_MILLE);
        let per_second = u128::from(self.weight) * u128::from(self.terms.rate) * slowed;
        let refill = per_second * elapsed.as_nanos() + self.carry;
        self.carry = refill % (NANOS_PER_SECOND * PER_MILLE);
        i64::try_from(refill / (NANOS_PER_SECOND * PER_MILLE)).unwrap_or(i64::MAX)
    }
}

fn clamp(terms: Terms) -> Terms {
    Terms {
        rate: terms.rate.min(MAX_TOKENS),
        burst: terms.burst.min(MAX_TOKENS),
    }
}

/// A part of some tokens, in millionths of a token.
pub(crate) fn part(weight: u32, tokens: u64) -> i64 {
    i64::from(weight) * i64::try_from(tokens).unwrap_or(i64::MAX)
}
