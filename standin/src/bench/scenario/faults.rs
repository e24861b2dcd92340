//! Injects a scenario's faults while the load runs.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::Scenario;
use crate::bench::instance_table::{InstanceEntry, InstanceState, InstanceTable};
use crate::bench::record::Fault;
use crate::caller::{Caller, Payload, Request};
use crate::engine::Silence;
use crate::fleet::{Fleet, Instance};
use crate::link::RegionIndex;
use crate::store::Outage;
use crate::workload::{MODEL, Workload};

/// Text in a request body that crashes each engine that runs the request.
const POISON: &str = "crash-marker-7f3a";
/// How long a crashed engine stays down.
const ENGINE_DOWN_TIME: Duration = Duration::from_millis(1_500);
const POISON_INTERVAL: Duration = Duration::from_millis(400);
const LOST_ANSWERS_SHARE: f64 = 0.3;
/// Time after which the platform removes a killed instance from its list.
const LIST_REMOVAL_DELAY: Duration = Duration::from_secs(1);
const FREEZE_TIME: Duration = Duration::from_millis(1_500);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a target marked as leaving must receive no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(4);
const SILENT_AFTER_TOKENS: usize = 3;
/// Number of requests at each engine that get the answer of the request before them.
const CROSSED_ANSWERS: u32 = 2;

/// The fleet and the load that a scenario acts on.
#[derive(Clone)]
pub(in crate::bench) struct ScenarioContext {
    pub(in crate::bench) fleet: Arc<Mutex<Fleet>>,
    pub(in crate::bench) instance_table: Arc<InstanceTable>,
    pub(in crate::bench) workload: Arc<Workload>,
    pub(in crate::bench) caller: Caller,
    pub(in crate::bench) start: Instant,
    pub(in crate::bench) length: Duration,
}

/// The faults that a scenario injected, and counts about them.
#[derive(Debug, Default)]
pub(in crate::bench) struct InjectedFaults {
    pub(in crate::bench) faults: Vec<Fault>,
    pub(in crate::bench) poison_sent: u64,
    /// Runs that a leaving target received after [`LEAVING_GRACE`].
    pub(in crate::bench) runs_at_leaving_target: u64,
}

/// Injects a scenario's faults; returns when the last one is over.
pub(in crate::bench) async fn inject_faults(
    scenario: Scenario,
    context: &ScenarioContext,
) -> Result<InjectedFaults> {
    let mut injector = FaultInjector {
        context,
        injected: InjectedFaults::default(),
    };
    match scenario {
        Scenario::Steady | Scenario::Greedy | Scenario::Churn | Scenario::Peaks => {}
        Scenario::Partition => injector.partition().await,
        Scenario::StoreOutage => injector.store_outage().await,
        Scenario::Crash => injector.crash().await,
        Scenario::Silent => injector.silent().await,
        Scenario::Replace => injector.replace().await?,
    }
    Ok(injector.injected)
}

struct FaultInjector<'a> {
    context: &'a ScenarioContext,
    injected: InjectedFaults,
}

impl FaultInjector<'_> {
    /// Waits until this fraction of the run's length has passed.
    async fn wait_until_fraction(&self, fraction: f64) {
        let at = self.context.start + self.context.length.mul_f64(fraction);
        tokio::time::sleep_until(at).await;
    }

    fn record_fault(&mut self, name: &'static str) {
        let at = self.context.start.elapsed();
        self.injected.faults.push(Fault { name, at });
    }

    async fn partition(&mut self) {
        for (region, from, to) in [(2, 0.2, 0.45), (0, 0.6, 0.8)] {
            self.wait_until_fraction(from).await;
            self.record_fault("region isolated");
            self.isolate(region, true).await;
            self.wait_until_fraction(to).await;
            self.isolate(region, false).await;
        }
    }

    async fn isolate(&self, region: usize, cut: bool) {
        let fleet = self.context.fleet.lock().await;
        fleet.links.set_isolated(RegionIndex(region), cut);
        self.context.instance_table.set_isolated(region, cut);
    }

    async fn store_outage(&mut self) {
        let outages = [
            (0.3, "store hangs", Some(Outage::Hang)),
            (0.5, "store refuses", Some(Outage::Refuse)),
            (0.7, "store is back", None),
        ];
        self.wait_until_fraction(0.1).await;
        self.record_fault("store loses answers");
        self.context
            .fleet
            .lock()
            .await
            .store
            .set_lost_answer_share(LOST_ANSWERS_SHARE);
        for (fraction, name, outage) in outages {
            self.wait_until_fraction(fraction).await;
            self.record_fault(name);
            self.context.fleet.lock().await.store.set_outage(outage);
        }
        self.wait_until_fraction(0.8).await;
        let fleet = self.context.fleet.lock().await;
        fleet.store.set_lost_answer_share(0.0);
        fleet.store.compact();
        fleet.store.restart();
    }

    async fn crash(&mut self) {
        for (fraction, engine) in [(0.15, 0), (0.25, 5)] {
            self.wait_until_fraction(fraction).await;
            self.record_fault("engine crashes");
            let fleet = self.context.fleet.lock().await;
            if let Some(engine) = fleet.engines.get(engine) {
                engine.crash(ENGINE_DOWN_TIME);
            }
        }
        self.wait_until_fraction(0.4).await;
        self.record_fault("request crashes engines");
        for engine in &self.context.fleet.lock().await.engines {
            engine.set_poison(Some(POISON), ENGINE_DOWN_TIME);
        }
        let over = self.context.start + self.context.length.mul_f64(0.8);
        let mut region = 0;
        while Instant::now() < over {
            self.send_poison(region).await;
            region = (region + 1) % self.context.workload.regions.len();
            tokio::time::sleep(POISON_INTERVAL).await;
        }
    }

    /// Sends the engine-crashing request without waiting for its end.
    async fn send_poison(&mut self, region: usize) {
        let picked = self
            .context
            .instance_table
            .pick(region, &[], &mut rand::rng());
        let Some(at) = picked else {
            return;
        };
        self.injected.poison_sent += 1;
        let request = Request {
            payload: Payload::Chat {
                prompt: format!("please {POISON}"),
                tokens: 8,
                stream: false,
            },
            route: MODEL.to_owned(),
            key: Some(self.context.workload.organisations[0].key.clone()),
            headers: Vec::new(),
        };
        let caller = self.context.caller.clone();
        tokio::spawn(async move { caller.send(at, &request).await });
    }

    async fn silent(&mut self) {
        let between = [
            (RegionIndex(0), RegionIndex(1)),
            (RegionIndex(1), RegionIndex(2)),
        ];
        self.wait_until_fraction(0.15).await;
        self.record_fault("connections between regions go silent");
        for (a, b) in between {
            self.context
                .fleet
                .lock()
                .await
                .links
                .silence_open_connections(a, b);
        }
        self.wait_until_fraction(0.35).await;
        self.record_fault("connections inside a region go silent");
        let inside = RegionIndex(0);
        self.context
            .fleet
            .lock()
            .await
            .links
            .silence_open_connections(inside, inside);
        self.wait_until_fraction(0.5).await;
        self.record_fault("engines go silent");
        self.silence_engines(true).await;
        self.wait_until_fraction(0.7).await;
        self.silence_engines(false).await;
        self.wait_until_fraction(0.75).await;
        self.record_fault("answers are crossed");
        for engine in &self.context.fleet.lock().await.engines {
            engine.misdirect_next_answers(CROSSED_ANSWERS);
        }
    }

    async fn silence_engines(&self, silent: bool) {
        let fleet = self.context.fleet.lock().await;
        let silences = [
            (4, Silence::Answers),
            (8, Silence::AfterTokens(SILENT_AFTER_TOKENS)),
        ];
        for (index, silence) in silences {
            if let Some(engine) = fleet.engines.get(index) {
                engine.set_silence(silent.then_some(silence));
            }
        }
    }

    async fn replace(&mut self) -> Result<()> {
        let initial_count = self.context.fleet.lock().await.instances.len();
        self.wait_until_fraction(0.1).await;
        let leaving_target = self.mark_target_leaving().await;
        self.record_fault("rolling restart");
        for old in 0..initial_count {
            self.wait_until_fraction(0.1 + 0.5 * old as f64 / initial_count as f64)
                .await;
            self.replace_instance(old).await?;
        }
        for (fraction, n) in [(0.7, 0), (0.78, 1)] {
            self.wait_until_fraction(fraction).await;
            self.record_fault("instance killed");
            self.kill_and_replace_instance(initial_count + n).await?;
        }
        self.wait_until_fraction(0.88).await;
        self.record_fault("instance frozen");
        self.freeze_instance(initial_count + 2).await?;
        self.wait_until_fraction(1.0).await;
        self.count_late_runs_at(leaving_target).await;
        Ok(())
    }

    async fn mark_target_leaving(&self) -> (usize, Instant) {
        let fleet = self.context.fleet.lock().await;
        let index = 1;
        if let Some(engine) = fleet.engines.get(index) {
            fleet.platform.set_label(engine.id(), "state", "leaving");
        }
        (index, Instant::now())
    }

    async fn count_late_runs_at(&mut self, (index, since): (usize, Instant)) {
        let fleet = self.context.fleet.lock().await;
        let Some(engine) = fleet.engines.get(index) else {
            return;
        };
        let limit = (since + LEAVING_GRACE).into_std();
        let late = engine.runs().iter().filter(|r| r.at > limit).count();
        self.injected.runs_at_leaving_target = late as u64;
    }

    async fn replace_instance(&self, old: usize) -> Result<()> {
        let mut fleet = self.context.fleet.lock().await;
        let region = fleet.instances[old].region;
        let new = fleet.add_instance(region).await?;
        self.context
            .instance_table
            .add(instance_entry(&fleet.instances[new]));
        let id = fleet.instances[old].id.clone();
        self.context
            .instance_table
            .set_state(&id, InstanceState::Leaving);
        fleet.platform.set_label(&id, "state", "leaving");
        fleet.instances[old].terminate().await?;
        drop(fleet);
        tokio::spawn(delist_when_ended(Arc::clone(&self.context.fleet), old, id));
        Ok(())
    }

    async fn kill_and_replace_instance(&self, index: usize) -> Result<()> {
        let mut fleet = self.context.fleet.lock().await;
        let region = fleet.instances[index].region;
        let id = fleet.instances[index].id.clone();
        self.context
            .instance_table
            .set_state(&id, InstanceState::Unavailable);
        fleet.instances[index].kill().await?;
        drop(fleet);
        tokio::time::sleep(LIST_REMOVAL_DELAY).await;
        let mut fleet = self.context.fleet.lock().await;
        fleet.platform.remove(&id);
        let new = fleet.add_instance(region).await?;
        self.context
            .instance_table
            .add(instance_entry(&fleet.instances[new]));
        Ok(())
    }

    async fn freeze_instance(&self, index: usize) -> Result<()> {
        let mut fleet = self.context.fleet.lock().await;
        let id = fleet.instances[index].id.clone();
        self.context
            .instance_table
            .set_state(&id, InstanceState::Unavailable);
        fleet.instances[index].suspend().await?;
        drop(fleet);
        tokio::time::sleep(FREEZE_TIME).await;
        let mut fleet = self.context.fleet.lock().await;
        fleet.instances[index].resume().await?;
        self.context
            .instance_table
            .set_state(&id, InstanceState::Serving);
        Ok(())
    }
}

/// Removes an instance from the platform's list when its process has ended.
async fn delist_when_ended(fleet: Arc<Mutex<Fleet>>, index: usize, id: String) {
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while Instant::now() < deadline {
        let mut locked = fleet.lock().await;
        if locked.instances[index]
            .wait_exit(Duration::ZERO)
            .await
            .is_ok()
        {
            locked.platform.remove(&id);
            return;
        }
        drop(locked);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub(in crate::bench) fn instance_entry(instance: &Instance) -> InstanceEntry {
    InstanceEntry {
        id: instance.id.clone(),
        region: instance.region.0,
        front: instance.front,
        admin: instance.admin,
        state: InstanceState::Serving,
    }
}
