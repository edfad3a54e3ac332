//! The command lines of the programs.
