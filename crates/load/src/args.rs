//! Command-line arguments.

use std::{ffi::OsString, path::PathBuf, time::Duration};

use lexopt::{Arg, Parser, ValueExt};
use snafu::ResultExt;

use crate::{
    LoadError,
    deployment::{Deployment, WOZKOWNIA},
    error::{ArgumentsSnafu, UsageSnafu},
};

/// Text of `--help`.
pub const HELP: &str = "\
comfreyweir-load - load and experiment tool of comfreyweir

USAGE:
    comfreyweir-load run [OPTIONS]
    comfreyweir-load arrivals [OPTIONS]
    comfreyweir-load compare A.json B.json
    comfreyweir-load slopes [OPTIONS]
    comfreyweir-load experiment NAME [OPTIONS]
    comfreyweir-load capacity SLOPES.json
    comfreyweir-load cost [OPTIONS]

Starts real gates, planners and stand-ins as processes on loopback, from the folder that this
program is in, and ends them when it is done. Build with --release before measuring.

COMMANDS:
    run         Sends seeded open-loop arrivals after a deployment, and reports tail cold-start
                time by source, idle accelerator hours, the worst-served workspace's part of its
                due, and requests refused although inside their workspace's rate.
    arrivals    Prints the arrivals of `run`, one JSON object a line, and sends nothing. The same
                options always give the same arrivals.
    compare     Compares the results of two runs, which `run --json` has printed.
    slopes      Measures how processor time, memory and messages of each role grow with the size
                of the fleet, at four sizes or more each, and fits straight lines.
    experiment  Compares the ways of one decision on a virtual clock. NAME: allowances, or
                cold-starts (with --seconds 7200 for two hours).
    capacity    Prints the lines of a result of `slopes --json`, and the estimates of
                docs/CAPACITY.md that are worked out from them.
    cost        Measures what a gate adds to a call, against the direct call in the same run, at
                several loads by other callers. Processor time a token and memory a request are
                series of `slopes`.

OPTIONS:
    --deployment NAME    wozkownia or harrowgate. Default: wozkownia.
    --seed N             Seed of everything random. Default: 1.
    --seconds N          Length of a run. Default: 30.
    --rate N             Requests a second, without bursts and the excess of the workspace that
                         sends four times its part. Default: 20.
    --only NAME          For `slopes`: measure one series only.
    --bin DIR            Folder of the programs. Default: the folder of this one.
    --json               Print the result as JSON.
    -h, --help           Print this help.
    -V, --version        Print the version.

EXIT STATUS:
    0  the run has a result
    1  the run failed
    2  the command line is wrong
";

/// Command to run.
#[derive(Clone, Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Send load and report on it.
    Run,
    /// Print the arrivals that `Run` would send.
    Arrivals,
    /// Compare the result files of two runs.
    Compare(PathBuf, PathBuf),
    /// Run the allowance experiment.
    Allowances,
    /// Measure how resource use grows with the size of the fleet.
    Slopes,
    /// Run the cold-start experiment.
    ColdStarts,
    /// Print capacity estimates from a file of measured slopes.
    Capacity(PathBuf),
    /// Measure the latency that a gate adds to a call.
    Cost,
}

/// Checked arguments.
#[derive(Clone, Debug)]
pub struct Args {
    /// Command to run.
    pub command: Command,
    /// Deployment to imitate.
    pub deployment: Deployment,
    /// Seed of everything random.
    pub seed: u64,
    /// Length of a run.
    pub length: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Name of the only series that `slopes` measures; `None` for all.
    pub only: Option<String>,
    /// Folder of the programs to start; `None` for the folder of this program.
    pub bin: Option<PathBuf>,
    /// Whether the result is printed as JSON.
    pub json: bool,
}

/// Parses the arguments, without the program's name. `--help` and `--version` skip the rest.
///
/// # Errors
///
/// [`LoadError::Arguments`] or [`LoadError::Usage`] if they are wrong.
pub fn parse<I>(args: I) -> Result<Args, LoadError>
where
    I: IntoIterator<Item = OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut positional = Vec::new();
    let mut parsed = Args {
        command: Command::Help,
        deployment: WOZKOWNIA,
        seed: 1,
        length: Duration::from_secs(30),
        rate: 20.0,
        only: None,
        bin: None,
        json: false,
    };
    while let Some(arg) = parser.next().context(ArgumentsSnafu)? {
        let name = match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(parsed),
            Arg::Short('V') | Arg::Long("version") => {
                parsed.command = Command::Version;
                return Ok(parsed);
            }
            Arg::Value(argument) => {
                positional.push(argument);
                continue;
            }
            Arg::Long(name) => name.to_owned(),
            Arg::Short(_) => return Err(arg.unexpected()).context(ArgumentsSnafu),
        };
        parse_option(&name, &mut parser, &mut parsed)?;
    }
    parsed.command = parse_command(&positional)?;
    Ok(parsed)
}

fn parse_option(name: &str, parser: &mut Parser, parsed: &mut Args) -> Result<(), LoadError> {
    if name == "json" {
        parsed.json = true;
        return Ok(());
    }
    let mut value = || parser.value().context(ArgumentsSnafu);
    match name {
        "deployment" => {
            let name = value()?.string().context(ArgumentsSnafu)?;
            let found = Deployment::named(&name);
            parsed.deployment = match found {
                Some(deployment) => deployment,
                None => return usage_error(&format!("no deployment is named {name}")),
            };
        }
        "seed" => parsed.seed = value()?.parse().context(ArgumentsSnafu)?,
        "seconds" => {
            let seconds: u64 = value()?.parse().context(ArgumentsSnafu)?;
            parsed.length = Duration::from_secs(seconds);
        }
        "rate" => {
            parsed.rate = value()?.parse().context(ArgumentsSnafu)?;
            if !parsed.rate.is_finite() || parsed.rate <= 0.0 {
                return usage_error("--rate must be above zero");
            }
        }
        "only" => parsed.only = Some(value()?.string().context(ArgumentsSnafu)?),
        "bin" => parsed.bin = Some(PathBuf::from(value()?)),
        _ => return usage_error(&format!("unknown option --{name}")),
    }
    Ok(())
}

fn parse_command(positional: &[OsString]) -> Result<Command, LoadError> {
    let texts: Vec<&str> = positional
        .iter()
        .filter_map(|argument| argument.to_str())
        .collect();
    match texts.as_slice() {
        ["run"] => Ok(Command::Run),
        ["arrivals"] => Ok(Command::Arrivals),
        ["experiment", "allowances"] => Ok(Command::Allowances),
        ["slopes"] => Ok(Command::Slopes),
        ["experiment", "cold-starts"] => Ok(Command::ColdStarts),
        ["capacity", file] => Ok(Command::Capacity(file.into())),
        ["capacity", ..] => usage_error("capacity takes one file"),
        ["cost"] => Ok(Command::Cost),
        ["compare", a, b] => Ok(Command::Compare(a.into(), b.into())),
        ["compare", ..] => usage_error("compare takes two files"),
        [] => usage_error("no command"),
        [word, ..] => usage_error(&format!("unknown command {word}")),
    }
}

fn usage_error<T>(what: &str) -> Result<T, LoadError> {
    UsageSnafu { what }.fail()
}
