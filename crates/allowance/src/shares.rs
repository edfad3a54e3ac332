//! The share table: which gate owns which part of every allowance.
//!
//! The table is a single value in the key-value service and is changed by compare-and-swap. A gate
//! changes only its own entry, except that it removes the entry of a gate whose lease is revoked.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::bucket::FULL_WEIGHT;

/// Part of every allowance, in parts per million.
pub type Weight = u32;

/// Share of one gate.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Name of the gate's instance, under which the platform lists its addresses.
    pub instance: String,
    /// Incarnation of the process that may use the share.
    pub incarnation: String,
    /// Part of every allowance.
    pub weight: Weight,
}

/// Shares of all gates.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareTable {
    /// Shares by peer address.
    pub shares: BTreeMap<SocketAddr, Share>,
    /// Part of the free weight that no gate has ever owned, so that its tokens cannot have been
    /// used.
    pub untouched: Weight,
}

/// Identity of a gate process in the share table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Peer address of the gate.
    pub addr: SocketAddr,
    /// Name of its instance.
    pub instance: String,
    /// Incarnation of its process. A process continues as a new incarnation after its lease was
    /// revoked.
    pub incarnation: String,
}

/// An edit of the share table by a gate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Edit {
    /// Add a share.
    Join {
        /// Weight taken from the free weight.
        weight: Weight,
        /// How much of it no gate has ever owned.
        untouched: Weight,
    },
    /// Take over the share of an earlier process on the same address.
    Inherit {
        /// Weight of the share.
        weight: Weight,
    },
    /// Give up a part of the gate's own share. The gate must already have stopped using that part.
    Shrink {
        /// Weight that remains.
        weight: Weight,
    },
    /// Take more of the free weight. The gate may use it only after the table was written.
    Grow {
        /// Weight after the change.
        weight: Weight,
    },
    /// Remove the gate's own share. The gate must already have stopped using it.
    Leave,
}

impl Default for ShareTable {
    fn default() -> Self {
        Self {
            shares: BTreeMap::new(),
            untouched: FULL_WEIGHT,
        }
    }
}

impl ShareTable {
    /// Weight that no gate owns.
    pub fn free(&self) -> Weight {
        FULL_WEIGHT.saturating_sub(self.assigned())
    }

    /// Weight that gates own.
    pub fn assigned(&self) -> Weight {
        self.shares.values().map(|share| share.weight).sum()
    }

    /// Weight that a member may use; `None` if it has no entry, or another incarnation has it.
    pub fn weight_of(&self, me: &Member) -> Option<Weight> {
        let share = self.shares.get(&me.addr)?;
        (share.incarnation == me.incarnation).then_some(share.weight)
    }

    /// The edit that adds `me`; `None` if this incarnation has an entry already. `listed` is the
    /// number of gates that the platform lists. It limits the share, so that the first of several
    /// gates that start together leaves room for the others.
    pub fn plan_join(&self, me: &Member, listed: usize) -> Option<Edit> {
        match self.shares.get(&me.addr) {
            Some(share) if share.incarnation == me.incarnation => None,
            Some(share) => Some(Edit::Inherit {
                weight: share.weight,
            }),
            None => {
                let gates = listed.max(self.shares.len() + 1);
                let weight = self.free().min(equal_share(gates));
                Some(Edit::Join {
                    weight,
                    untouched: weight.min(self.untouched),
                })
            }
        }
    }

    /// The edit that reduces the share of `me` to an equal share, when other gates own less than
    /// that and the free weight does not suffice for them.
    pub fn plan_shrink(&self, me: &Member) -> Option<Edit> {
        let own = self.weight_of(me)?;
        let target = equal_share(self.shares.len());
        let wanted = self.wanted_by_others(me, target);
        let missing = wanted.saturating_sub(self.free());
        (own > target && missing > 0).then_some(Edit::Shrink { weight: target })
    }

    /// The edit that grows the share of `me` out of the free weight, up to an equal share.
    pub fn plan_grow(&self, me: &Member) -> Option<Edit> {
        let own = self.weight_of(me)?;
        let target = equal_share(self.shares.len());
        let weight = target.min(own.saturating_add(self.free()));
        (weight > own).then_some(Edit::Grow { weight })
    }

    /// The table after an edit by `me`.
    #[must_use]
    pub fn with_edit(&self, me: &Member, edit: &Edit) -> Self {
        let mut table = self.clone();
        match *edit {
            Edit::Join { weight, untouched } => {
                table.untouched -= untouched;
                table.set_share(me, weight);
            }
            Edit::Inherit { weight } | Edit::Shrink { weight } => table.set_share(me, weight),
            Edit::Grow { weight } => {
                table.set_share(me, weight);
                // Takes free weight that a gate owned before first, and only then untouched weight.
                table.untouched = table.untouched.min(table.free());
            }
            Edit::Leave => {
                table.shares.remove(&me.addr);
            }
        }
        table
    }

    /// The table without a gate whose lease was revoked; `None` if its entry is already removed or
    /// belongs to another incarnation.
    #[must_use]
    pub fn without_member(&self, member: &Member) -> Option<Self> {
        self.weight_of(member)?;
        let mut table = self.clone();
        table.shares.remove(&member.addr);
        Some(table)
    }

    fn set_share(&mut self, me: &Member, weight: Weight) {
        let share = Share {
            instance: me.instance.clone(),
            incarnation: me.incarnation.clone(),
            weight,
        };
        self.shares.insert(me.addr, share);
    }

    /// Weight that the other gates lack to reach `target` each.
    fn wanted_by_others(&self, me: &Member, target: Weight) -> Weight {
        self.shares
            .iter()
            .filter(|(addr, _)| **addr != me.addr)
            .map(|(_, share)| target.saturating_sub(share.weight))
            .sum()
    }
}

fn equal_share(gates: usize) -> Weight {
    let gates = u32::try_from(gates.max(1)).unwrap_or(FULL_WEIGHT);
    FULL_WEIGHT / gates
}
