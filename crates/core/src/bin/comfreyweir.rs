//! The operators' client, and `comfreyweir dev`.

use std::{env, process::ExitCode};

use comfreyweir_core::{client, dev};

fn main() -> ExitCode {
    let mut args = env::args_os().skip(1).peekable();
    if args.next_if(|command| command == "dev").is_some() {
        return dev::main(args);
    }
    client::main(args)
}
