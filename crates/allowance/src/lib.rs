//! Arithmetic of token allowances that are shared between instances.
