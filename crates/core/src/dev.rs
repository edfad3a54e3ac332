//! `comfreyweir dev`: the whole system in one process, with stand-ins for the services around it.
//!
//! Meant for a first try. The daemons are started through their libraries with their default
//! settings, so requests are handled as in a real installation.

mod catalog;
mod layout;
mod standins;

use std::{
    ffi::OsString,
    fmt::Display,
    io,
    net::{Ipv4Addr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use comfreyweir_config::keys;
use comfreyweir_external::kv_http::HttpKv;
use comfreyweir_gate::{Gate, GateError};
use comfreyweir_planner::{Planner, PlannerError};
use comfreyweir_standins::StandinError;
use comfreyweir_store::{PublishError, new_write_id, publish};
use lexopt::{Arg, Parser, ValueExt};
use snafu::{ResultExt, Snafu};

use crate::{
    daemon::{EXIT_FAILED, EXIT_USAGE, StopSignals},
    logging,
};
use layout::Layout;
use standins::Standins;

/// Number of gates. Each belongs to an instance of its own.
const GATE_COUNT: usize = 2;
/// Availability zones, by index of the gate or engine.
const ZONES: [&str; GATE_COUNT] = ["zone-a", "zone-b"];
/// Longest wait for one gate to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between readiness checks of a gate.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one HTTP call to a gate or to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Memory of each engine, in MB.
const ENGINE_MEMORY_MB: u64 = 48_000;

const HELP: &str = "\
comfreyweir dev
Run the whole system in one process, with stand-ins for all that is around it: a
key-value service, a list of instances, two model engines with a weight store,
and a plain service. Two gates and a planner serve a sample configuration.

When it is ready it prints one line on standard output:

    ready http://ADDRESS:PORT key KEY

Ctrl-C stops it gracefully. Nothing is kept.

USAGE:
    comfreyweir dev [OPTIONS]

OPTIONS:
    -l, --listen ADDRESS:PORT
        Address of the first gate. Port 0 picks a free one. The default is
        127.0.0.1:8080.
    -v, --verbose
        Log what happens, as JSON lines on standard error. Without it only
        warnings are logged.
    -h, --help
        Print this help, and exit.

EXIT CODES:
    0   stopped as asked
    1   failed while starting or running
    2   the command line is wrong
";

/// Options given on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Options {
    listen: SocketAddr,
    verbose: bool,
}

/// Error while starting.
#[derive(Debug)]
#[derive(Snafu)]
enum DevError {
    #[snafu(display("cannot find a free port on the loopback address: {source}"))]
    Port { source: io::Error },
    #[snafu(display("cannot create the peer secret file: {source}"))]
    TempDir { source: io::Error },
    #[snafu(display("cannot start a stand-in: {source}"))]
    Standin { source: StandinError },
    #[snafu(display("cannot publish the sample configuration: {source}"))]
    Publish { source: PublishError },
    #[snafu(display("{source}"))]
    Gate { source: GateError },
    #[snafu(display("{source}"))]
    Planner { source: PlannerError },
    #[snafu(display("gate {addr} was not ready within {} s", READY_TIMEOUT.as_secs()))]
    NotReady { addr: SocketAddr },
    #[snafu(display("cannot register the signal handlers: {source}"))]
    Signals { source: io::Error },
}

/// Runs `comfreyweir dev` with the arguments that follow `dev`.
pub fn main<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let options = match parse_args(args) {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => return report_error(&e, EXIT_USAGE),
    };
    let verbosity = if options.verbose {
        logging::Verbosity::Info
    } else {
        logging::Verbosity::Warnings
    };
    let log = match logging::init(verbosity) {
        Ok(log) => log,
        Err(e) => return report_error(&e, EXIT_FAILED),
    };
    match actix_rt::System::new().block_on(run(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log.write_text(&format!("comfreyweir dev: {e}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn parse_args<I>(args: I) -> Result<Option<Options>, lexopt::Error>
where
    I: IntoIterator<Item = OsString>,
{
    let mut options = Options {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 8080)),
        verbose: false,
    };
    let mut parser = Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Short('l') | Arg::Long("listen") => options.listen = parser.value()?.parse()?,
            Arg::Short('v') | Arg::Long("verbose") => options.verbose = true,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

fn report_error<E>(e: &E, code: u8) -> ExitCode
where
    E: Display,
{
    eprintln!("comfreyweir dev: {e}");
    ExitCode::from(code)
}

async fn run(options: Options) -> Result<(), DevError> {
    let mut signals = StopSignals::register().context(SignalsSnafu)?;
    let layout = Layout::allocate(options.listen)?;
    let standins = Standins::spawn(&layout)?;
    let key = publish_sample_config(&layout).await?;
    let planner = comfreyweir_planner::spawn(layout.planner_settings());
    let planner = planner.await.context(PlannerSnafu)?;
    let gates = spawn_gates(&layout).await?;
    println!("ready http://{} key {key}", gates[0].addr());
    signals.wait().await;
    stop(gates, planner).await;
    drop(standins);
    Ok(())
}

async fn spawn_gates(layout: &Layout) -> Result<Vec<Gate>, DevError> {
    let mut gates = Vec::new();
    for index in 0..GATE_COUNT {
        let spawned = comfreyweir_gate::spawn(layout.gate_settings(index)).await;
        gates.push(spawned.context(GateSnafu)?);
    }
    for gate in &gates {
        wait_ready(gate.admin_addr()).await?;
    }
    Ok(gates)
}

async fn wait_ready(addr: SocketAddr) -> Result<(), DevError> {
    let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let url = format!("http://{addr}/readyz");
    let ready = async {
        loop {
            let answer = http.get(&url).send().await;
            if answer.is_ok_and(|res| res.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(READY_TIMEOUT, ready).await;
    result.map_err(|_| DevError::NotReady { addr })
}

async fn stop(gates: Vec<Gate>, planner: Planner) {
    for gate in gates {
        gate.stop().await;
    }
    planner.stop().await;
}

/// Publishes the sample configuration and returns the API key of its workspace.
async fn publish_sample_config(layout: &Layout) -> Result<String, DevError> {
    let key = keys::generate();
    let catalog = catalog::sample(&layout.upstreams, &key);
    let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let kv = HttpKv::new(http, layout.kv, CALL_TIMEOUT);
    publish(&kv, &catalog, 0, &new_write_id())
        .await
        .context(PublishSnafu)?;
    Ok(key)
}
