//! The deployments whose load is imitated.

use std::collections::BTreeMap;

use comfreyweir_external::engine::CheckpointTier;
use comfreyweir_standins::weights;
use comfreyweir_testbed::ClusterSpec;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Workspaces by name, with their part of the load; the last sends several times its rate.
    pub workspaces: [(&'static str, f64); 5],
    /// Loads a second of the weight store.
    pub loads_per_second: f64,
    /// Loads at once at full speed.
    pub full_speed: u32,
    /// Time of an adapter's load, in ms.
    pub adapter_ms: u64,
    /// Entry instances.
    pub gates: usize,
}

/// Forklift fleets: a few large workspaces, short questions and long histories.
pub const WOZKOWNIA: Deployment = Deployment {
    name: "wozkownia",
    zones: ["lodz-a", "lodz-b", "poznan-c"],
    engines: 20,
    services: 3,
    models: 55,
    adapters: 115,
    workspaces: [
        ("dispatch", 0.40),
        ("workshop", 0.25),
        ("vans", 0.15),
        ("parts", 0.05),
        ("reports", 0.15),
    ],
    loads_per_second: 3.0,
    full_speed: 4,
    adapter_ms: 6,
    gates: 6,
};

/// School uniforms: catalogues, tenders and questions of parents.
pub const HARROWGATE: Deployment = Deployment {
    name: "harrowgate",
    zones: ["mid-a", "mid-b", "mid-c"],
    engines: 20,
    services: 3,
    models: 45,
    adapters: 95,
    workspaces: [
        ("schools", 0.35),
        ("bursars", 0.25),
        ("parents", 0.20),
        ("stock", 0.05),
        ("tenders", 0.15),
    ],
    loads_per_second: 4.0,
    full_speed: 4,
    adapter_ms: 8,
    gates: 6,
};

/// Memory of an engine, in MB.
pub const ENGINE_MB: u64 = 1_000;
/// Memory of a model, in MB; an engine holds five.
pub const MODEL_MB: u64 = 180;
/// Memory of an adapter, in MB.
pub const ADAPTER_MB: u64 = 4;
/// Output tokens of a run.
pub const OUTPUT_TOKENS: u32 = 24;
/// Load of a model from the weight store at full speed, in ms.
pub const REMOTE_MS: u64 = 1_200;

impl Deployment {
    /// The deployment of a name.
    pub fn named(name: &str) -> Option<Self> {
        [WOZKOWNIA, HARROWGATE].into_iter().find(|d| d.name == name)
    }

    /// Name of a model.
    pub fn model(index: usize) -> String {
        format!("model-{index}")
    }

    /// Name of an adapter.
    pub fn adapter(index: usize) -> String {
        format!("adapter-{index}")
    }

    /// Names that callers use: models, then adapters.
    pub fn served(&self, index: usize) -> String {
        match index.checked_sub(self.models) {
            Some(adapter) => Self::adapter(adapter),
            None => Self::model(index),
        }
    }

    /// Served names, models and adapters together.
    pub fn artifacts(&self) -> usize {
        self.models + self.adapters
    }

    /// The cluster that stands for the deployment, with rates for `tokens_per_second` in all.
    pub fn cluster(&self, tokens_per_second: f64, seed: u64) -> ClusterSpec {
        let mut spec = ClusterSpec::new(self.gates);
        spec.zones = self.zones.map(str::to_owned).into();
        spec.planner_timing.keep_idle_ms = 5_000;
        spec.weights = weights::Settings {
            loads_per_second: self.loads_per_second,
            full_speed_models: self.full_speed,
            ..weights::Settings::default()
        };
        spec = spec.engines(self.engines, ENGINE_MB);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for engine in &mut spec.engines {
            engine.settings.output_tokens = OUTPUT_TOKENS;
            engine.settings.times.load_remote_ms = REMOTE_MS;
            engine.settings.times.adapter_ms = self.adapter_ms;
            engine.settings.checkpoints = self.checkpoints(&mut rng);
        }
        for index in 0..self.services {
            spec = spec.service(&format!("service-{index}"));
        }
        for index in 0..self.models {
            spec = spec.model(&Self::model(index), MODEL_MB, 2);
        }
        for index in 0..self.adapters {
            let base = Self::model(index % self.models);
            spec = spec.adapter(&Self::adapter(index), &base, ADAPTER_MB);
        }
        for (name, part) in self.workspaces {
            let rate = rate(tokens_per_second, part);
            let burst = (rate * BURST_SECONDS).max(SMALLEST_BURST);
            spec = spec.workspace(name, rate, burst);
        }
        spec
    }

    /// Checkpoints are held unevenly: most are remote, some on disk, few in memory.
    fn checkpoints<R>(&self, rng: &mut R) -> BTreeMap<String, CheckpointTier>
    where
        R: Rng,
    {
        let places = (0..self.models).filter_map(|index| {
            let tier = match rng.random_range(0..100) {
                0 => CheckpointTier::Memory,
                1..4 => CheckpointTier::Disk,
                _ => return None,
            };
            Some((format!("{}@1", Self::model(index)), tier))
        });
        places.collect()
    }
}

/// Burst of a workspace, in seconds of its rate.
const BURST_SECONDS: u64 = 5;
/// Smallest burst, in tokens: a long request with its output limit fits.
const SMALLEST_BURST: u64 = 1_000;
/// Room of a rate over the load that it is meant for.
const ROOM: f64 = 1.3;

/// Rate of a workspace, in tokens a second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn rate(tokens_per_second: f64, part: f64) -> u64 {
    (tokens_per_second * part * ROOM).ceil() as u64
}
