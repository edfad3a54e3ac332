//! Placement decisions: pure functions of the cell's plan, reports and demand.
