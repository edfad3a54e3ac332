//! Program `comfreyweir-load`.

use std::{ffi::OsString, fmt::Display, fs, path::Path, process::ExitCode};

use comfreyweir_testbed::Programs;
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{
    LoadError, allowances,
    args::{self, Args, Command},
    arrivals::{self, Load},
    capacity::{Estimator, PLANNED},
    cold_starts, compare, cost, drive,
    error::{FileSnafu, ResultSnafu},
    slopes,
};

/// Runs the program with its arguments.
pub fn main<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let outcome = args::parse(args).and_then(|args| execute(&args));
    let Err(e) = outcome else {
        return ExitCode::SUCCESS;
    };
    eprintln!("comfreyweir-load: {e}");
    match e {
        LoadError::Arguments { .. } | LoadError::Usage { .. } => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}

fn execute(args: &Args) -> Result<(), LoadError> {
    let load = Load {
        seed: args.seed,
        length: args.length,
        rate: args.rate,
    };
    let programs = match &args.bin {
        Some(folder) => Programs::in_folder(folder),
        None => Programs::beside_this(),
    };
    let system = actix_rt::System::new();
    match &args.command {
        Command::Help => print!("{}", args::HELP),
        Command::Version => println!("comfreyweir-load {}", env!("CARGO_PKG_VERSION")),
        Command::Arrivals => {
            for arrival in arrivals::draw(&args.deployment, load) {
                println!("{}", to_json(&arrival));
            }
        }
        Command::Compare(a, b) => print!("{}", compare::table(&read(a)?, &read(b)?)),
        Command::Run => {
            let run = drive::run(&args.deployment, load, &programs);
            print(args, &system.block_on(run)?);
        }
        Command::ColdStarts => {
            let table = cold_starts::run(&args.deployment, args.seed, args.length);
            print(args, &table);
        }
        Command::Allowances => print(args, &allowances::experiment(args.seed)),
        Command::Slopes => {
            let measured = slopes::measure(&programs, args.only.as_deref());
            print(args, &system.block_on(measured)?);
        }
        Command::Capacity(file) => {
            let slopes: slopes::Slopes = read(file)?;
            print!("{slopes}\n{}", Estimator::new(&slopes, PLANNED).estimate());
        }
        Command::Cost => print(args, &system.block_on(cost::measure(&programs))?),
    }
    Ok(())
}

fn print<T>(args: &Args, result: &T)
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

fn read<T>(path: &Path) -> Result<T, LoadError>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    serde_json::from_str(&text).context(ResultSnafu { path })
}
