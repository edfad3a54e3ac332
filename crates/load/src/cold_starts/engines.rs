//! Engines and the weight store on the virtual clock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use comfreyweir_external::engine::{
    Artifact, CheckpointTier, LoadState, LoadedArtifact, Order, OrderAction, Report,
};

use crate::deployment::{Deployment, ENGINE_MB};

/// Time of a load from disk and from memory, as parts of a load from the store.
const DISK_PART: f64 = 0.4;
const MEMORY_PART: f64 = 0.1;
/// Checkpoints that stay in the memory of a server, the latest loaded.
const MEMORY_CHECKPOINTS: usize = 1;
/// Checkpoints that stay in the memory or on the disk of a server.
const LOCAL_CHECKPOINTS: usize = 2;
/// Adapters that load at full speed at once.
const FULL_SPEED_ADAPTERS: usize = 30;

/// A load under way.
#[derive(Clone, Debug)]
struct Transfer {
    engine: usize,
    name: String,
    lane: Lane,
    left: Duration,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lane {
    StoreModels,
    StoreAdapters,
    Local,
}

/// What a load would take alone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Alone {
    pub(super) time: Duration,
    pub(super) from_store: bool,
}

#[derive(Default)]
struct Engine {
    held: BTreeMap<String, LoadedArtifact>,
    checkpoints: BTreeMap<String, CheckpointTier>,
    local: VecDeque<String>,
    term: u64,
}

/// Engines that share a store.
pub(super) struct Engines {
    all: Vec<Engine>,
    transfers: Vec<Transfer>,
    store_load: Duration,
    adapter_load: Duration,
    full_speed: usize,
    /// What the latest load of each artifact would have taken alone.
    pub(super) alone: BTreeMap<String, Alone>,
}

impl Engines {
    pub(super) fn new(
        deployment: &Deployment,
        checkpoints: &[Vec<(usize, CheckpointTier)>],
    ) -> Self {
        let full_speed = usize::try_from(deployment.full_speed).unwrap_or(1);
        let engines = checkpoints.iter().map(|at_start| Engine {
            checkpoints: at_start
                .iter()
                .map(|(model, tier)| (format!("{}@1", Deployment::model(*model)), *tier))
                .collect(),
            ..Engine::default()
        });
        Self {
            all: engines.collect(),
            transfers: Vec::new(),
            // The store completes its loads a second with its full-speed number at once.
            store_load: Duration::from_secs_f64(
                f64::from(deployment.full_speed) / deployment.loads_per_second,
            ),
            adapter_load: Duration::from_millis(deployment.adapter_ms),
            full_speed,
            alone: BTreeMap::new(),
        }
    }

    pub(super) fn report(&self, engine: usize) -> Report {
        let engine = &self.all[engine];
        Report {
            incarnation: 1,
            term: engine.term,
            memory_mb: ENGINE_MB,
            loaded: engine.held.values().cloned().collect(),
            checkpoints: engine.checkpoints.clone(),
            ..Report::default()
        }
    }

    pub(super) fn take(&mut self, index: usize, order: &Order) {
        let engine = &mut self.all[index];
        engine.term = engine.term.max(order.term);
        match &order.action {
            OrderAction::Fence => {}
            OrderAction::Unload { artifact } => {
                engine.held.remove(&artifact.served_name());
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
        if engine.held.contains_key(&name) {
            return;
        }
        let loaded = LoadedArtifact {
            artifact: artifact.clone(),
            state: LoadState::Loading,
            memory_mb,
        };
        engine.held.insert(name.clone(), loaded);
        let tier = engine.checkpoints.get(&name).copied();
        let (lane, left) = if artifact.base.is_some() {
            (Lane::StoreAdapters, self.adapter_load)
        } else {
            match tier {
                Some(CheckpointTier::Memory) => (Lane::Local, self.store_load.mul_f64(MEMORY_PART)),
                Some(CheckpointTier::Disk) => (Lane::Local, self.store_load.mul_f64(DISK_PART)),
                _ => (Lane::StoreModels, self.store_load),
            }
        };
        let alone = Alone {
            time: left,
            from_store: lane == Lane::StoreModels,
        };
        self.alone.insert(name.clone(), alone);
        self.transfers.push(Transfer {
            engine: index,
            name,
            lane,
            left,
        });
    }

    fn speed(&self, lane: Lane) -> f64 {
        let full_speed = match lane {
            Lane::StoreModels => self.full_speed,
            Lane::StoreAdapters => FULL_SPEED_ADAPTERS,
            Lane::Local => return 1.0,
        };
        let count = self.transfers.iter().filter(|t| t.lane == lane).count();
        #[allow(clippy::cast_precision_loss)]
        let part = full_speed as f64 / count.max(1) as f64;
        part.min(1.0)
    }

    /// Time until the next load ends.
    pub(super) fn next_end(&self) -> Option<Duration> {
        let ends = self.transfers.iter();
        ends.map(|t| t.left.div_f64(self.speed(t.lane))).min()
    }

    /// Lets time pass.
    pub(super) fn advance(&mut self, by: Duration) {
        let lanes = [Lane::StoreModels, Lane::StoreAdapters, Lane::Local];
        let speeds = lanes.map(|lane| (lane, self.speed(lane)));
        for transfer in &mut self.transfers {
            let speed = speeds.iter().find(|(lane, _)| *lane == transfer.lane);
            let done = by.mul_f64(speed.map_or(1.0, |(_, speed)| *speed));
            transfer.left = transfer.left.saturating_sub(done);
        }
        let (ended, running) = std::mem::take(&mut self.transfers)
            .into_iter()
            .partition::<Vec<_>, _>(|t| t.left <= Duration::from_nanos(100));
        self.transfers = running;
        for transfer in ended {
            self.all[transfer.engine].end_load(&transfer.name, transfer.lane);
        }
    }
}

impl Engine {
    fn end_load(&mut self, name: &str, lane: Lane) {
        let Some(held) = self.held.get_mut(name) else {
            return;
        };
        held.state = LoadState::Ready;
        if lane == Lane::StoreAdapters {
            return;
        }
        self.local.retain(|kept| kept != name);
        self.local.push_front(name.to_owned());
        for (place, kept) in self.local.iter().enumerate() {
            if place < MEMORY_CHECKPOINTS {
                self.checkpoints
                    .insert(kept.clone(), CheckpointTier::Memory);
            } else if place < LOCAL_CHECKPOINTS {
                self.checkpoints.insert(kept.clone(), CheckpointTier::Disk);
            } else {
                self.checkpoints.remove(kept);
            }
        }
        self.local.truncate(LOCAL_CHECKPOINTS);
    }
}
