//! Stand-ins for the services that surround comfreyweir, as a program of their own.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    ExitCode::from(comfreyweir_standins::program::main(env::args_os().skip(1)))
}
