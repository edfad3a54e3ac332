//! The bound of allowances, with the real ledger and keeper and without input or output.

mod bound;
mod faults;
mod fleet;
