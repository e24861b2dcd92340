//! The recorder, which counts the requests of this instance.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use smol_str::SmolStr;

use super::{Event, Minute, Series};
use crate::config::{Objective, Snapshot};

/// Counts requests against the objectives in force.
///
/// Each objective has its own lock, which is held only for one addition or copy of its counts.
#[derive(Debug, Default)]
pub struct Recorder {
    objectives: RwLock<Arc<CountedObjectives>>,
}

type CountedObjectives = BTreeMap<SmolStr, CountedObjective>;

#[derive(Debug, Clone)]
struct CountedObjective {
    objective: Objective,
    series: Arc<Mutex<Series>>,
}

impl Recorder {
    /// Replaces the recorder's objectives by the objectives of a configuration. An objective that
    /// did not change keeps its counts.
    pub fn set_objectives(&self, snapshot: &Snapshot) {
        let mut objectives = self
            .objectives
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut next = CountedObjectives::new();
        for (name, objective) in &snapshot.merged.objectives {
            let unchanged = objectives
                .get(name)
                .filter(|entry| entry.objective == *objective);
            let entry = unchanged.cloned().unwrap_or_else(|| CountedObjective {
                objective: objective.clone(),
                series: Arc::default(),
            });
            next.insert(name.clone(), entry);
        }
        *objectives = Arc::new(next);
    }

    /// Counts a request that ended in the given minute.
    pub fn record(&self, minute: Minute, event: &Event<'_>) {
        for entry in self.objectives().values() {
            if !event.concerns(&entry.objective) {
                continue;
            }
            let counts = event.counts(&entry.objective);
            lock(&entry.series).add(minute, counts);
        }
    }

    /// Returns a copy of the counts by name of objective.
    pub fn series(&self) -> BTreeMap<SmolStr, Series> {
        let mut copy = BTreeMap::new();
        for (name, entry) in self.objectives().iter() {
            copy.insert(name.clone(), lock(&entry.series).clone());
        }
        copy
    }

    /// Adds the counts of a leaving instance. Counts of objectives that this recorder does not have
    /// are ignored.
    pub fn merge(&self, series: &BTreeMap<SmolStr, Series>) {
        for (name, entry) in self.objectives().iter() {
            if let Some(more) = series.get(name) {
                lock(&entry.series).merge(more);
            }
        }
    }

    fn objectives(&self) -> Arc<CountedObjectives> {
        Arc::clone(
            &self
                .objectives
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

fn lock(series: &Mutex<Series>) -> std::sync::MutexGuard<'_, Series> {
    series.lock().unwrap_or_else(PoisonError::into_inner)
}
