//! The operators' client: `check`, `apply`, `diff`, `key`, `status` and `drain`.
//!
//! Arguments are read in two layers, after ripgrep's habit: the raw ones as they were given, then
//! the checked ones, in which an environment variable or a default stands in for what is missing.

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
    args::{Raw, Request},
    command::{Command, KeyCommand},
    error::ClientError,
    output::Output,
};

/// Runs the client.
pub fn main<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let raw = match Raw::parse(args) {
        Ok(Request::Run(raw)) => raw,
        Ok(Request::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("comfreyweir: {e}");
            return ExitCode::from(error::EXIT_USAGE);
        }
    };
    let output = Output::new(raw.json);
    let environment = |name: &str| std::env::var(name).ok();
    let command = match Command::check(&raw, environment) {
        Ok(command) => command,
        Err(e) => return output.fail(&e),
    };
    let done = actix_rt::System::new().block_on(run(command, output));
    done.unwrap_or_else(|e| output.fail(&e))
}

async fn run(command: Command, output: Output) -> Result<ExitCode, ClientError> {
    match command {
        Command::Check { dir } => apply::check(&dir, output),
        Command::Apply { dir, target } => apply::apply(&dir, &target, output).await,
        Command::Diff { dir, kv } => apply::diff(&dir, kv, output).await,
        Command::Key(KeyCommand::Issue {
            dir,
            workspace,
            id,
            target,
        }) => edit::issue_key(&dir, &workspace, id, &target, output).await,
        Command::Key(KeyCommand::Withdraw { dir, id, target }) => {
            edit::withdraw_key(&dir, &id, &target, output).await
        }
        Command::Drain {
            dir,
            upstream,
            undo,
            target,
        } => edit::drain(&dir, &upstream, undo, &target, output).await,
        Command::Status { admin } => status::status(&admin, output).await,
    }
}
