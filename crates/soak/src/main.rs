//! Program `comfreyweir-soak`: runs one soak of the entry daemon per seed, one after the other.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use comfreyweir_soak::{Plan, ServerCounts, SoakSettings, run};
use lexopt::prelude::*;

const HELP: &str = "\
Soaks the entry daemon with faults drawn by seed.

Usage: comfreyweir-soak [OPTIONS]

Options:
  --program PATH    the daemon [default: comfreyweir-entry beside this program]
  --seed N          first seed [default: 1]
  --seeds N         number of seeds [default: 1]
  --instances N     instances [default: 4]
  --callers N       tasks that send requests [default: 32]
  --seconds N       time in which faults begin [default: 15]
  --plan PLAN       drawn, releases: planned work beside outages, each 10 s, or configurations:
                    series of changes beside outages, each 19 s [default: drawn]
  --engines N       engines [default: 3]
  --plain N         other servers [default: 2]
  --cpu-share X     share of a core that each instance gets [default: 1]
  --config-bytes N  size up to which configurations are filled with routes [default: 0]
  --thin-links N    instances whose link to the store carries 10 Mbit/s, the others then 200 [default: 0]
  -h, --help        this text
";

struct Args {
    settings: SoakSettings,
    seeds: u64,
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(Some(args)) => args,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("comfreyweir-soak: {e}");
            return ExitCode::from(2);
        }
    };
    actix_rt::System::new().block_on(soak(args))
}

fn parse() -> Result<Option<Args>, lexopt::Error> {
    let current_exe = std::env::current_exe().ok();
    let default_program =
        current_exe.and_then(|path| Some(path.parent()?.join("comfreyweir-entry")));
    let mut settings = SoakSettings {
        program: default_program.unwrap_or_default(),
        seed: 1,
        instances: 4,
        callers: 32,
        fault_duration: Duration::from_secs(15),
        plan: Plan::Drawn,
        servers: ServerCounts::default(),
        cpu_share: 1.0,
        config_bytes: 0,
        thin_links: 0,
    };
    let mut seeds = 1;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("program") => settings.program = PathBuf::from(parser.value()?),
            Long("seed") => settings.seed = parser.value()?.parse()?,
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("instances") => settings.instances = parser.value()?.parse()?,
            Long("callers") => settings.callers = parser.value()?.parse()?,
            Long("seconds") => {
                settings.fault_duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Long("plan") => {
                settings.plan = match parser.value()?.string()?.as_str() {
                    "drawn" => Plan::Drawn,
                    "releases" => Plan::Releases,
                    "configurations" => Plan::Configurations,
                    _ => return Err("--plan is drawn, releases or configurations".into()),
                };
            }
            Long("engines") => settings.servers.engines = parser.value()?.parse()?,
            Long("plain") => settings.servers.plain = parser.value()?.parse()?,
            Long("cpu-share") => settings.cpu_share = parser.value()?.parse()?,
            Long("config-bytes") => settings.config_bytes = parser.value()?.parse()?,
            Long("thin-links") => settings.thin_links = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    if settings.plan == Plan::Releases {
        settings.servers.spare = settings.servers.engines.max(settings.servers.plain);
    }
    Ok(Some(Args { settings, seeds }))
}

async fn soak(args: Args) -> ExitCode {
    let mut any_broken = false;
    for seed in (args.settings.seed..).take(usize::try_from(args.seeds).unwrap_or(usize::MAX)) {
        let settings = SoakSettings {
            seed,
            ..args.settings.clone()
        };
        let verdict = match run(&settings).await {
            Ok(verdict) => verdict,
            Err(e) => {
                eprintln!("comfreyweir-soak: seed {seed}: {e}");
                return ExitCode::FAILURE;
            }
        };
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} of {} resumed streams went on, \
             {} engines ended under {} requests with a fatal part, last request {} ms after a server \
             began to leave, older configuration used after {} ms at most ({} probes), {} promises \
             broken",
            verdict.faults.len(),
            verdict.served,
            verdict.requests,
            verdict.resumed.1,
            verdict.resumed.0,
            verdict.fatal.0,
            verdict.fatal.1,
            verdict.latest_after_leaving.as_millis(),
            verdict.latest_outdated.as_millis(),
            verdict.probes,
            verdict.broken_promises.len()
        );
        if !verdict.broken_promises.is_empty() {
            any_broken = true;
            verdict
                .faults
                .iter()
                .for_each(|fault| println!("  {fault}"));
            verdict
                .broken_promises
                .iter()
                .for_each(|what| println!("  BROKEN {what}"));
            println!("  logs: {:?}", verdict.logs);
        }
    }
    if any_broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
