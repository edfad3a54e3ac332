//! Deployments whose load is simulated, and the test cluster for each.

use std::collections::BTreeMap;

use comfreyweir_external::engine::CheckpointTier;
use comfreyweir_standins::weights;
use comfreyweir_testbed::ClusterSpec;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Size, names and load split of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name, as given to `--deployment`.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Model engines.
    pub engines: usize,
    /// Plain services, which serve no models.
    pub services: usize,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Names of the workspaces, each with its fraction of the load. The last one sends several
    /// times its rate.
    pub workspaces: [(&'static str, f64); 5],
    /// Model loads per second that the weight store serves.
    pub loads_per_second: f64,
    /// Concurrent loads that the weight store serves at full speed.
    pub full_speed_loads: u32,
    /// Load time of an adapter, in ms.
    pub adapter_load_ms: u64,
    /// Entry instances.
    pub gates: usize,
}

/// A forklift fleet operator: a few large workspaces, short questions and long histories.
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
    full_speed_loads: 4,
    adapter_load_ms: 6,
    gates: 6,
};

/// A school uniform supplier: catalogues, tenders and questions from parents.
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
    full_speed_loads: 4,
    adapter_load_ms: 8,
    gates: 6,
};

/// Memory of an engine, in MB.
pub const ENGINE_MB: u64 = 1_000;
/// Memory of a model, in MB; an engine has room for five.
pub const MODEL_MB: u64 = 180;
/// Memory of an adapter, in MB.
pub const ADAPTER_MB: u64 = 4;
/// Output tokens of a request.
pub const OUTPUT_TOKENS: u32 = 24;
/// Load time of a model from the weight store at full speed, in ms.
pub const REMOTE_LOAD_MS: u64 = 1_200;

impl Deployment {
    /// Looks up a deployment. Returns `None` if there is none of that name.
    pub fn named(name: &str) -> Option<Self> {
        [WOZKOWNIA, HARROWGATE].into_iter().find(|d| d.name == name)
    }

    /// Name of the model at a zero-based index.
    pub fn model(index: usize) -> String {
        format!("model-{index}")
    }

    /// Name of the adapter at a zero-based index.
    pub fn adapter(index: usize) -> String {
        format!("adapter-{index}")
    }

    /// Name that callers use for an artifact; indexes count the models, then the adapters.
    pub fn served_name(&self, index: usize) -> String {
        match index.checked_sub(self.models) {
            Some(adapter) => Self::adapter(adapter),
            None => Self::model(index),
        }
    }

    /// Number of models and adapters together.
    pub fn artifact_count(&self) -> usize {
        self.models + self.adapters
    }

    /// Test cluster for the deployment. The rates of its workspaces are set for `tokens_per_second`
    /// of total load; `seed` determines where the engines hold checkpoints.
    pub fn cluster(&self, tokens_per_second: f64, seed: u64) -> ClusterSpec {
        let mut spec = ClusterSpec::new(self.gates);
        spec.zones = self.zones.map(str::to_owned).into();
        spec.planner_timing.keep_idle_ms = 5_000;
        spec.weights = weights::Settings {
            loads_per_second: self.loads_per_second,
            full_speed_models: self.full_speed_loads,
            ..weights::Settings::default()
        };
        spec = spec.engines(self.engines, ENGINE_MB);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for engine in &mut spec.engines {
            engine.settings.output_tokens = OUTPUT_TOKENS;
            engine.settings.times.load_remote_ms = REMOTE_LOAD_MS;
            engine.settings.times.adapter_ms = self.adapter_load_ms;
            engine.settings.checkpoints = self.draw_checkpoints(&mut rng);
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
        for (name, load_fraction) in self.workspaces {
            let rate = workspace_rate(tokens_per_second, load_fraction);
            let burst = (rate * BURST_SECONDS).max(MIN_BURST_TOKENS);
            spec = spec.workspace(name, rate, burst);
        }
        spec
    }

    /// Draws where an engine holds the checkpoint of each model: 1% in memory, 3% on disk. The
    /// other models are left out, which means remote.
    fn draw_checkpoints<R>(&self, rng: &mut R) -> BTreeMap<String, CheckpointTier>
    where
        R: Rng,
    {
        let tiers = (0..self.models).filter_map(|index| {
            let tier = match rng.random_range(0..100) {
                0 => CheckpointTier::Memory,
                1..4 => CheckpointTier::Disk,
                _ => return None,
            };
            Some((format!("{}@1", Self::model(index)), tier))
        });
        tiers.collect()
    }
}

/// Burst of a workspace, as seconds at its rate.
const BURST_SECONDS: u64 = 5;
/// Lower bound of the burst, so that a long request with its output limit fits.
const MIN_BURST_TOKENS: u64 = 1_000;
/// Factor by which the rate of a workspace exceeds its expected load.
const RATE_HEADROOM: f64 = 1.3;

/// Rate limit of a workspace with this fraction of the load, in tokens per second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn workspace_rate(tokens_per_second: f64, load_fraction: f64) -> u64 {
    (tokens_per_second * load_fraction * RATE_HEADROOM).ceil() as u64
}
