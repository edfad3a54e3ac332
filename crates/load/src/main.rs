//! Binary of the load and experiment tool; see [`comfreyweir_load::program`].

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    comfreyweir_load::program::main(env::args_os().skip(1))
}
