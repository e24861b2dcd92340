//! Measures the processor, memory, network and store usage of an idle fleet of a given size.

use std::path::PathBuf;
use std::time::Duration;

use eyre::Result;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::operator::Operator;
use crate::quickstart::default_fleet_spec;
use crate::workload::{Kind, Workload};

const ROOT_TOKEN: &str = "slopes-root-token";
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between the settings being in force and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(10);
const ENGINES_PER_REGION: usize = 4;

/// The resource usage of an idle fleet of one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct IdleCost {
    /// Number of instances over three regions.
    pub instances: usize,
    /// Number of organisations in the settings.
    pub organisations: usize,
    /// Processor seconds per second of an instance, averaged over all instances.
    pub cpu: f64,
    /// Processor seconds per second of the instance that used the most.
    pub cpu_most: f64,
    /// Resident memory of an instance in MB, averaged over all instances.
    pub memory_mb: f64,
    /// Resident memory in MB of the instance that used the most.
    pub memory_mb_most: f64,
    /// Bytes per second over all links (to other instances, the store and targets), divided by the
    /// number of instances.
    pub bytes: f64,
    /// Store calls per second of the whole fleet.
    pub store_calls: f64,
    /// Watches open at the store.
    pub watches: u64,
}

/// Measures an idle fleet for the duration `length` and prints one JSON line.
///
/// # Errors
///
/// If the fleet does not start or its settings are not in force in time.
pub async fn measure(
    daemon: PathBuf,
    instances: usize,
    organisations: usize,
    length: Duration,
) -> Result<()> {
    let workload = Workload::new(Kind::Survey, organisations, 0.0);
    let mut spec = default_fleet_spec(daemon, &workload, ROOT_TOKEN);
    spec.instances = instances;
    spec.engines_per_region = ENGINES_PER_REGION;
    let fleet = Fleet::start(spec).await?;
    let operator = Operator::new(ROOT_TOKEN)?;
    let admin = fleet.instances[0].admin;
    let mut revision = 0;
    for (path, text) in workload.documents() {
        revision = operator.put_accepted(admin, path, &text).await?;
    }
    operator.wait(admin, revision, IN_FORCE_TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let cost = measure_cost(&fleet, organisations, length).await?;
    println!("{}", serde_json::to_string(&cost)?);
    Ok(())
}

async fn measure_cost(fleet: &Fleet, organisations: usize, length: Duration) -> Result<IdleCost> {
    let mut before = Vec::new();
    for instance in &fleet.instances {
        before.push(instance.usage()?.cpu);
    }
    let bytes = fleet.links.bytes();
    let calls = fleet.store.counts().calls();
    tokio::time::sleep(length).await;
    let seconds = length.as_secs_f64();
    let count = fleet.instances.len() as f64;
    let (mut cpu, mut cpu_most, mut memory, mut memory_most) = (0.0, 0.0_f64, 0.0, 0.0_f64);
    for (instance, before) in fleet.instances.iter().zip(before) {
        let usage = instance.usage()?;
        let cpu_share = usage.cpu.saturating_sub(before).as_secs_f64() / seconds;
        let megabytes = usage.memory as f64 / 1e6;
        cpu += cpu_share;
        cpu_most = cpu_most.max(cpu_share);
        memory += megabytes;
        memory_most = memory_most.max(megabytes);
    }
    let counts = fleet.store.counts();
    Ok(IdleCost {
        instances: fleet.instances.len(),
        organisations,
        cpu: cpu / count,
        cpu_most,
        memory_mb: memory / count,
        memory_mb_most: memory_most,
        bytes: (fleet.links.bytes() - bytes) as f64 / seconds / count,
        store_calls: (counts.calls() - calls) as f64 / seconds,
        watches: counts.open_watches,
    })
}
