//! The record of shares: which gate owns which part of every allowance.
//!
//! The record is one value in the key-value service and is changed by compare-and-swap. A gate
//! changes only its own entry, except that it removes the entry of a gate whose lease it has
//! revoked.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::bucket::WHOLE;

/// Part of every allowance, in parts per million.
pub type Weight = u32;

/// Share of one gate.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Name of the gate's instance, by which the platform lists where it can be reached.
    pub instance: String,
    /// Incarnation of the process that may use it.
    pub incarnation: String,
    /// Part of every allowance.
    pub weight: Weight,
}

/// Shares of all gates by their peer addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareTable {
    /// Shares by peer address.
    pub shares: BTreeMap<SocketAddr, Share>,
    /// Part of the free weight that no gate has ever owned. Its tokens have never been used.
    pub untouched: Weight,
}

/// Identity of a gate in the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Peer address of the gate.
    pub addr: SocketAddr,
    /// Name of its instance.
    pub instance: String,
    /// Incarnation of its process.
    pub incarnation: String,
}

/// A change of the record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Edit {
    /// Add a share.
    Join {
        /// Weight taken from the free part.
        weight: Weight,
        /// How much of it no gate has ever owned.
        untouched: Weight,
    },
    /// Take over the share of an earlier process on the same address.
    Inherit {
        /// Weight of the share.
        weight: Weight,
    },
    /// Give a part of the own share away. The gate must have stopped using it before.
    Shrink {
        /// Weight that remains.
        weight: Weight,
    },
    /// Take more of the free part. The gate may use it after the record was written.
    Grow {
        /// Weight after the change.
        weight: Weight,
    },
    /// Remove the own share. The gate must have stopped using it before.
    Leave,
}

impl Default for ShareTable {
    fn default() -> Self {
        Self {
            shares: BTreeMap::new(),
            untouched: WHOLE,
        }
    }
}

impl ShareTable {
    /// Weight that no gate owns.
    pub fn free(&self) -> Weight {
        WHOLE.saturating_sub(self.assigned())
    }

    /// Weight that gates own.
    pub fn assigned(&self) -> Weight {
        self.shares.values().map(|share| share.weight).sum()
    }

    /// Weight that a member may use according to the record.
    pub fn weight_of(&self, me: &Member) -> Option<Weight> {
        let share = self.shares.get(&me.addr)?;
        (share.incarnation == me.incarnation).then_some(share.weight)
    }

    /// The change that adds `me` to the record, if it is not in it. `listed` is the number of
    /// gates that the platform lists, so that gates starting together do not take too much.
    pub fn plan_join(&self, me: &Member, listed: usize) -> Option<Edit> {
        match self.shares.get(&me.addr) {
            Some(share) if share.incarnation == me.incarnation => None,
            Some(share) => Some(Edit::Inherit {
                weight: share.weight,
            }),
            None => {
                let gates = listed.max(self.shares.len() + 1);
                let weight = self.free().min(equal_part(gates));
                Some(Edit::Join {
                    weight,
                    untouched: weight.min(self.untouched),
                })
            }
        }
    }

    /// The change that makes room for gates that own less than an equal part.
    pub fn plan_shrink(&self, me: &Member) -> Option<Edit> {
        let own = self.weight_of(me)?;
        let target = equal_part(self.shares.len());
        let wanted = self.wanted_by_others(me, target);
        let missing = wanted.saturating_sub(self.free());
        (own > target && missing > 0).then_some(Edit::Shrink { weight: target })
    }

    /// The change that takes what is free up to an equal part.
    pub fn plan_grow(&self, me: &Member) -> Option<Edit> {
        let own = self.weight_of(me)?;
        let target = equal_part(self.shares.len());
        let weight = target.min(own.saturating_add(self.free()));
        (weight > own).then_some(Edit::Grow { weight })
    }

    /// The record after a change by `me`.
    #[must_use]
    pub fn with(&self, me: &Member, edit: &Edit) -> Self {
        let mut table = self.clone();
        match *edit {
            Edit::Join { weight, untouched } => {
                table.untouched -= untouched;
                table.put(me, weight);
            }
            Edit::Inherit { weight } | Edit::Shrink { weight } => table.put(me, weight),
            Edit::Grow { weight } => {
                table.put(me, weight);
                table.untouched = table.untouched.min(table.free());
            }
            Edit::Leave => {
                table.shares.remove(&me.addr);
            }
        }
        table
    }

    /// The record without a gate whose lease was revoked.
    #[must_use]
    pub fn without(&self, gone: &Member) -> Option<Self> {
        self.weight_of(gone)?;
        let mut table = self.clone();
        table.shares.remove(&gone.addr);
        Some(table)
    }

    fn put(&mut self, me: &Member, weight: Weight) {
        let share = Share {
            instance: me.instance.clone(),
            incarnation: me.incarnation.clone(),
            weight,
        };
        self.shares.insert(me.addr, share);
    }

    fn wanted_by_others(&self, me: &Member, target: Weight) -> Weight {
        self.shares
            .iter()
            .filter(|(addr, _)| **addr != me.addr)
            .map(|(_, share)| target.saturating_sub(share.weight))
            .sum()
    }
}

fn equal_part(gates: usize) -> Weight {
    let gates = u32::try_from(gates.max(1)).unwrap_or(WHOLE);
    WHOLE / gates
}
