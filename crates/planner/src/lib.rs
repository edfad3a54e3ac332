//! The planner: decides which upstream holds which model, adapter and version, and orders it.
