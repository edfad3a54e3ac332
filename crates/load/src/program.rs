//! Entry point of `comfreyweir-load`: runs a command and prints its result.

use std::{ffi::OsString, fmt::Display, fs, path::Path, process::ExitCode};

use comfreyweir_testbed::Programs;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{
    LoadError, allowances,
    args::{self, Args, Command},
    arrivals::{self, LoadSpec},
    capacity::{Estimator, PLANNED_FLEET},
    cold_starts, compare, cost, drive,
    error::{InvalidResultSnafu, ReadFileSnafu},
    slopes,
};

/// Runs the command that `args`, without the program's name, give. Errors go to stderr; the exit
/// status is 2 if the command line is wrong and 1 for any other error.
pub fn main<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let result = args::parse(args).and_then(|args| execute(&args));
    let Err(e) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("comfreyweir-load: {e}");
    match e {
        LoadError::Arguments { .. } | LoadError::Usage { .. } => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}

fn execute(args: &Args) -> Result<(), LoadError> {
    let load = LoadSpec {
        seed: args.seed,
        length: args.length,
        rate: args.rate,
    };
    let programs = match &args.bin {
        Some(folder) => Programs::in_folder(folder),
        None => Programs::beside_current_exe(),
    };
    let runtime = actix_rt::System::new();
    match &args.command {
        Command::Help => print!("{}", args::HELP),
        Command::Version => println!("comfreyweir-load {}", env!("CARGO_PKG_VERSION")),
        Command::Arrivals => {
            for arrival in arrivals::draw_arrivals(&args.deployment, load) {
                println!("{}", to_json(&arrival));
            }
        }
        Command::Compare(a, b) => print!("{}", compare::table(&read_json(a)?, &read_json(b)?)),
        Command::Run => {
            let run = drive::run(&args.deployment, load, &programs);
            print_result(args, &runtime.block_on(run)?);
        }
        Command::ColdStarts => {
            let report = cold_starts::run(&args.deployment, args.seed, args.length);
            print_result(args, &report);
        }
        Command::Allowances => print_result(args, &allowances::experiment(args.seed)),
        Command::Slopes => {
            let measurement = slopes::measure(&programs, args.only.as_deref());
            print_result(args, &runtime.block_on(measurement)?);
        }
        Command::Capacity(file) => {
            let slopes: slopes::Slopes = read_json(file)?;
            print!(
                "{slopes}\n{}",
                Estimator::new(&slopes, PLANNED_FLEET).estimate()
            );
        }
        Command::Cost => print_result(args, &runtime.block_on(cost::measure(&programs))?),
    }
    Ok(())
}

fn print_result<T>(args: &Args, result: &T)
where
    T: Serialize + Display,
{
    if args.json {
        println!("{}", to_json(result));
    } else {
        print!("{result}");
    }
}

fn to_json<T>(value: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(value).expect("results are serializable")
}

fn read_json<T>(path: &Path) -> Result<T, LoadError>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    serde_json::from_str(&text).context(InvalidResultSnafu { path })
}
