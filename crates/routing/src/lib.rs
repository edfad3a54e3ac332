//! Request queues with fairness between workspaces, and choice of upstream.
