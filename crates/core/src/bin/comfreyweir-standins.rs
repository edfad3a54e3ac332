//! Program `comfreyweir-standins`.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    ExitCode::from(comfreyweir_standins::program::main(env::args_os().skip(1)))
}
