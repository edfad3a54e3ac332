//! Program `comfreyweir`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    if args.next().is_some_and(|command| command == "dev") {
        return comfreyweir_core::dev::main(args);
    }
    eprintln!("comfreyweir: name a command; the only one is `dev`");
    ExitCode::from(comfreyweir_core::daemon::EXIT_USAGE)
}
