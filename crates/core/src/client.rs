//! The operators' client: `check`, `apply`, `diff`, `key`, `status` and `drain`.
//!
//! Arguments are parsed in two steps, as in ripgrep: into raw arguments as they were given, then
//! into a checked command, in which environment variables and defaults replace missing options.

mod apply;
mod args;
mod changes;
mod command;
mod edit;
mod error;
mod help;
mod output;
mod remote;
mod state;
mod status;
mod wait;

use std::{ffi::OsString, process::ExitCode};

use self::{
    args::{ParsedArgs, RawArgs},
    command::{Command, KeyCommand},
    error::ClientError,
    output::Output,
};

/// Runs the client with the arguments that follow the name of the program.
pub fn main<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let raw = match RawArgs::parse(args) {
        Ok(ParsedArgs::Run(raw)) => raw,
        Ok(ParsedArgs::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("comfreyweir: {e}");
            return ExitCode::from(error::EXIT_USAGE);
        }
    };
    let output = Output::new(raw.json);
    let env_var = |name: &str| std::env::var(name).ok();
    let command = match Command::from_raw(&raw, env_var) {
        Ok(command) => command,
        Err(e) => return output.report_error(&e),
    };
    let result = actix_rt::System::new().block_on(run(command, output));
    result.unwrap_or_else(|e| output.report_error(&e))
}

async fn run(command: Command, output: Output) -> Result<ExitCode, ClientError> {
    match command {
        Command::Check { dir } => apply::check(&dir, output),
        Command::Apply { dir, options } => apply::apply(&dir, &options, output).await,
        Command::Diff { dir, kv } => apply::diff(&dir, kv, output).await,
        Command::Key(KeyCommand::Issue {
            dir,
            workspace,
            id,
            options,
        }) => edit::issue_key(&dir, &workspace, id, &options, output).await,
        Command::Key(KeyCommand::Withdraw { dir, id, options }) => {
            edit::withdraw_key(&dir, &id, &options, output).await
        }
        Command::Drain {
            dir,
            upstream,
            undo,
            options,
        } => edit::drain(&dir, &upstream, undo, &options, output).await,
        Command::Status { admin_addrs } => status::show_status(&admin_addrs, output).await,
    }
}
