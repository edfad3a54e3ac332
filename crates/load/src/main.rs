//! Program `comfreyweir-load`.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    comfreyweir_load::program::main(env::args_os().skip(1))
}
