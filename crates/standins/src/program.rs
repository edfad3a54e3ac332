//! Program `comfreyweir-standins`: runs any number of stand-ins from one settings file.

use std::{collections::BTreeMap, ffi::OsString, fs, path::PathBuf};

use lexopt::{Arg, Parser};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    StandinError, engine,
    error::{ArgumentsSnafu, NoSettingsSnafu, ParseSettingsSnafu, ReadSettingsSnafu, SignalSnafu},
    instances, kv, proxy, service,
    weights::{self, WeightStore},
};

const HELP: &str = "\
comfreyweir-standins - stand-ins for the platform and the upstreams of comfreyweir

USAGE:
    comfreyweir-standins --config FILE

Runs every stand-in that FILE names, until it receives SIGTERM or SIGINT. Prints the line
\"ready\" on standard output once all of them listen.

OPTIONS:
    --config FILE    Settings in TOML: tables [kv], [weights], and arrays [[instances]],
                     [[engine]], [[service]], [[proxy]]. Each stand-in takes `listen` and
                     may take `control`, the address of its /test/ paths.
    -h, --help       Print this help.
    -V, --version    Print the version.

CONTROL PATHS:
    kv          GET /test/counts /test/keys /test/value/KEY; GET, POST /test/faults
    instances   GET, POST /test/instances; GET /test/counts; POST /test/faults
    engine      GET /test/record /test/inbound?contains=TEXT; GET, POST /test/weights;
                POST /test/faults /test/crash /test/start
    service     GET /test/record /test/inbound?contains=TEXT; POST /test/faults
    proxy       GET /test/counts; GET, POST /test/faults

EXIT STATUS:
    0  stopped by a signal
    1  a stand-in could not be started
    2  the command line or the settings are wrong
";

/// Settings file of the program.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Key-value service; none runs if it is not set.
    pub kv: Option<kv::Settings>,
    /// Lists of instances. Several lists can show the same fleet through different proxies.
    pub instances: Vec<instances::Settings>,
    /// Weight store that all engines share.
    pub weights: weights::Settings,
    /// Model engines.
    pub engine: Vec<engine::Settings>,
    /// Plain services.
    pub service: Vec<service::Settings>,
    /// Fault-injecting proxies.
    pub proxy: Vec<proxy::Settings>,
}

/// All running stand-ins. Dropping it stops them.
pub struct Standins {
    /// Key-value service, if the settings have one.
    pub kv: Option<kv::KvService>,
    /// Lists of instances in the order of the settings.
    pub instances: Vec<instances::InstanceListService>,
    /// Weight store that all engines share.
    pub weights: WeightStore,
    /// Engines by name.
    pub engines: BTreeMap<String, engine::Engine>,
    /// Plain services by name.
    pub services: BTreeMap<String, service::PlainService>,
    /// Proxies in the order of the settings.
    pub proxies: Vec<proxy::Proxy>,
}

/// Starts all stand-ins of the settings.
pub fn spawn(settings: Settings) -> Result<Standins, StandinError> {
    let weights = WeightStore::open(settings.weights);
    let mut engines = BTreeMap::new();
    for settings in settings.engine {
        let name = settings.name.clone();
        engines.insert(name, engine::spawn(settings, weights.clone())?);
    }
    let mut services = BTreeMap::new();
    for settings in settings.service {
        let name = settings.name.clone();
        services.insert(name, service::spawn(settings)?);
    }
    let instance_lists = settings.instances.into_iter().map(instances::spawn);
    let proxies = settings.proxy.iter().map(proxy::spawn);
    Ok(Standins {
        kv: settings.kv.map(kv::spawn).transpose()?,
        instances: instance_lists.collect::<Result<_, _>>()?,
        weights,
        engines,
        services,
        proxies: proxies.collect::<Result<_, _>>()?,
    })
}

/// Runs the program with its arguments and returns its exit status.
pub fn main<I>(args: I) -> u8
where
    I: IntoIterator<Item = OsString>,
{
    let outcome = parse(args).and_then(|file| match file {
        Some(file) => run(&file),
        None => Ok(()),
    });
    let Err(e) = outcome else {
        return 0;
    };
    eprintln!("comfreyweir-standins: {e}");
    match e {
        StandinError::Bind { .. } | StandinError::Signal { .. } => 1,
        _ => 2,
    }
}

fn parse<I>(args: I) -> Result<Option<PathBuf>, StandinError>
where
    I: IntoIterator<Item = OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut file = None;
    while let Some(arg) = parser.next().context(ArgumentsSnafu)? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Arg::Short('V') | Arg::Long("version") => {
                println!("comfreyweir-standins {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Arg::Long("config") => {
                let value = parser.value().context(ArgumentsSnafu)?;
                file = Some(PathBuf::from(value));
            }
            _ => return Err(arg.unexpected()).context(ArgumentsSnafu),
        }
    }
    match file {
        Some(file) => Ok(Some(file)),
        None => NoSettingsSnafu.fail(),
    }
}

fn run(path: &PathBuf) -> Result<(), StandinError> {
    let text = fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    let settings = toml::from_str(&text).context(ParseSettingsSnafu { path })?;
    actix_rt::System::new().block_on(async {
        let _standins = spawn(settings)?;
        let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
        println!("ready");
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
