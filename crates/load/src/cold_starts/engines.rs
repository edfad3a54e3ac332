//! Simulated engines that load from a shared weight store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use comfreyweir_external::engine::{
    Artifact, CheckpointTier, LoadState, LoadedArtifact, Order, OrderAction, Report,
};

use crate::deployment::{Deployment, ENGINE_MB};

/// Time of a load from local disk, relative to a load from the store at full speed.
const DISK_TIME_FACTOR: f64 = 0.4;
/// Time of a load from local memory, relative to a load from the store at full speed.
const MEMORY_TIME_FACTOR: f64 = 0.1;
/// Most recently loaded checkpoints that an engine keeps in memory.
const MEMORY_CHECKPOINTS: usize = 1;
/// Most recently loaded checkpoints that an engine keeps in memory or on disk.
const LOCAL_CHECKPOINTS: usize = 2;
/// Adapters that can load from the store concurrently at full speed.
const FULL_SPEED_ADAPTERS: usize = 30;

/// A load in progress.
#[derive(Clone, Debug)]
struct ActiveLoad {
    engine: usize,
    name: String,
    source: LoadSource,
    /// Remaining time at full speed.
    remaining: Duration,
}

/// Where a load reads from. Concurrent loads with the same source share its capacity, except local
/// ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LoadSource {
    StoreModels,
    StoreAdapters,
    Local,
}

/// A load as it would be without other loads.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UncontendedLoad {
    pub(super) time: Duration,
    /// Whether it is a model's load from the store.
    pub(super) from_store: bool,
}

#[derive(Default)]
struct Engine {
    /// Loading and loaded artifacts, by served name.
    artifacts: BTreeMap<String, LoadedArtifact>,
    checkpoints: BTreeMap<String, CheckpointTier>,
    /// Checkpoints that loads have left here, the most recent first.
    recent_checkpoints: VecDeque<String>,
    /// Highest term (fencing token) in an order so far.
    term: u64,
}

/// All engines of a run, which share a weight store.
pub(super) struct Engines {
    all: Vec<Engine>,
    active_loads: Vec<ActiveLoad>,
    store_load_time: Duration,
    adapter_load_time: Duration,
    full_speed: usize,
    /// The latest load of each artifact, by served name.
    pub(super) uncontended: BTreeMap<String, UncontendedLoad>,
}

impl Engines {
    pub(super) fn new(
        deployment: &Deployment,
        checkpoints: &[Vec<(usize, CheckpointTier)>],
    ) -> Self {
        let full_speed = usize::try_from(deployment.full_speed_loads).unwrap_or(1);
        let engines = checkpoints.iter().map(|initial| Engine {
            checkpoints: initial
                .iter()
                .map(|(model, tier)| (format!("{}@1", Deployment::model(*model)), *tier))
                .collect(),
            ..Engine::default()
        });
        Self {
            all: engines.collect(),
            active_loads: Vec::new(),
            // With `full_speed` concurrent loads, the store completes `loads_per_second`.
            store_load_time: Duration::from_secs_f64(
                f64::from(deployment.full_speed_loads) / deployment.loads_per_second,
            ),
            adapter_load_time: Duration::from_millis(deployment.adapter_load_ms),
            full_speed,
            uncontended: BTreeMap::new(),
        }
    }

    pub(super) fn report(&self, engine: usize) -> Report {
        let engine = &self.all[engine];
        Report {
            incarnation: 1,
            term: engine.term,
            memory_mb: ENGINE_MB,
            loaded: engine.artifacts.values().cloned().collect(),
            checkpoints: engine.checkpoints.clone(),
            ..Report::default()
        }
    }

    pub(super) fn apply_order(&mut self, index: usize, order: &Order) {
        let engine = &mut self.all[index];
        engine.term = engine.term.max(order.term);
        match &order.action {
            OrderAction::Fence => {}
            OrderAction::Unload { artifact } => {
                engine.artifacts.remove(&artifact.served_name());
            }
            OrderAction::Load {
                artifact,
                memory_mb,
            } => self.load(index, artifact, *memory_mb),
        }
    }

    fn load(&mut self, index: usize, artifact: &Artifact, memory_mb: u64) {
        let name = artifact.served_name();
        let engine = &mut self.all[index];
        if engine.artifacts.contains_key(&name) {
            return;
        }
        let loaded = LoadedArtifact {
            artifact: artifact.clone(),
            state: LoadState::Loading,
            memory_mb,
        };
        engine.artifacts.insert(name.clone(), loaded);
        let tier = engine.checkpoints.get(&name).copied();
        let (source, remaining) = if artifact.base.is_some() {
            (LoadSource::StoreAdapters, self.adapter_load_time)
        } else {
            match tier {
                Some(CheckpointTier::Memory) => (
                    LoadSource::Local,
                    self.store_load_time.mul_f64(MEMORY_TIME_FACTOR),
                ),
                Some(CheckpointTier::Disk) => (
                    LoadSource::Local,
                    self.store_load_time.mul_f64(DISK_TIME_FACTOR),
                ),
                _ => (LoadSource::StoreModels, self.store_load_time),
            }
        };
        let uncontended = UncontendedLoad {
            time: remaining,
            from_store: source == LoadSource::StoreModels,
        };
        self.uncontended.insert(name.clone(), uncontended);
        self.active_loads.push(ActiveLoad {
            engine: index,
            name,
            source,
            remaining,
        });
    }

    /// Speed of each load from `source`, where 1 is full speed.
    fn speed(&self, source: LoadSource) -> f64 {
        let full_speed = match source {
            LoadSource::StoreModels => self.full_speed,
            LoadSource::StoreAdapters => FULL_SPEED_ADAPTERS,
            LoadSource::Local => return 1.0,
        };
        let count = self
            .active_loads
            .iter()
            .filter(|load| load.source == source)
            .count();
        #[allow(clippy::cast_precision_loss)]
        let fraction = full_speed as f64 / count.max(1) as f64;
        fraction.min(1.0)
    }

    /// Time until the next load ends, at the present speeds; `None` without loads.
    pub(super) fn time_to_next_end(&self) -> Option<Duration> {
        let ends = self.active_loads.iter();
        ends.map(|load| load.remaining.div_f64(self.speed(load.source)))
            .min()
    }

    /// Advances all loads at their present speeds. `by` must not exceed
    /// [`Self::time_to_next_end`], since the end of a load changes the speeds.
    pub(super) fn advance(&mut self, by: Duration) {
        let sources = [
            LoadSource::StoreModels,
            LoadSource::StoreAdapters,
            LoadSource::Local,
        ];
        let speeds = sources.map(|source| (source, self.speed(source)));
        for load in &mut self.active_loads {
            let speed = speeds.iter().find(|(source, _)| *source == load.source);
            let done = by.mul_f64(speed.map_or(1.0, |(_, speed)| *speed));
            load.remaining = load.remaining.saturating_sub(done);
        }
        let (ended, running) = std::mem::take(&mut self.active_loads)
            .into_iter()
            .partition::<Vec<_>, _>(|load| load.remaining <= Duration::from_nanos(100));
        self.active_loads = running;
        for load in ended {
            self.all[load.engine].end_load(&load.name, load.source);
        }
    }
}

impl Engine {
    /// Marks an artifact as ready. A model also leaves a checkpoint on the engine, which may evict
    /// the oldest one.
    fn end_load(&mut self, name: &str, source: LoadSource) {
        let Some(loaded) = self.artifacts.get_mut(name) else {
            return;
        };
        loaded.state = LoadState::Ready;
        if source == LoadSource::StoreAdapters {
            return;
        }
        self.recent_checkpoints
            .retain(|checkpoint| checkpoint != name);
        self.recent_checkpoints.push_front(name.to_owned());
        for (position, checkpoint) in self.recent_checkpoints.iter().enumerate() {
            if position < MEMORY_CHECKPOINTS {
                self.checkpoints
                    .insert(checkpoint.clone(), CheckpointTier::Memory);
            } else if position < LOCAL_CHECKPOINTS {
                self.checkpoints
                    .insert(checkpoint.clone(), CheckpointTier::Disk);
            } else {
                self.checkpoints.remove(checkpoint);
            }
        }
        self.recent_checkpoints.truncate(LOCAL_CHECKPOINTS);
    }
}
