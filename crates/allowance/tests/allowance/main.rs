//! The upper bound of allowances, tested with the real ledger and share manager and without I/O.

mod bound;
mod faults;
mod fleet;
