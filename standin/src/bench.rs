//! Runs a load scenario against a fleet and reports its figures.
//!
//! The load is open-loop: each request is sent when it is due, even if earlier answers are late,
//! and latencies are measured from the intended start. All figures are computed from what the
//! stand-ins and the load generator recorded.

pub mod figures;
mod instance_table;
mod load;
mod loops;
mod probe;
pub mod record;
pub mod report;
mod scenario;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::{Caller, Completion};
use crate::fleet::{Fleet, Policy};
use crate::operator::Operator;
use crate::quickstart::default_fleet_spec;
use crate::workload::{Kind, TOKENS_PER_CALL, Workload, plan_arrivals};
use figures::{Figures, Percentiles};
use instance_table::InstanceTable;
use load::{LoadGenerator, Progress};
use probe::{ChangePattern, Prober};
use record::{ProbeResults, Sample};
use report::{Diagnostics, Report};
pub use scenario::{SCENARIOS, Scenario};
use scenario::{ScenarioContext, inject_faults};

const ROOT_TOKEN: &str = "bench-root-token";
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after which changes of the platform's list become visible while the load runs.
const LIST_LAG: Duration = Duration::from_millis(500);
/// Time for the instances to discover each other and to fill their rate limiters before the load
/// starts.
const SETTLE_TIME: Duration = Duration::from_secs(5);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
const CHURN_TEAMS: usize = 3;
const MAX_BROKEN_EXAMPLES: usize = 12;

/// The names of the baselines: naive policies to compare the default ones with.
pub const BASELINES: [&str; 5] = [
    "static-split",
    "local-whole",
    "random",
    "nearest-only",
    "reckless",
];

/// Options of a run.
#[derive(Debug, Clone)]
pub struct BenchOptions {
    /// Path of the daemon to start.
    pub daemon: PathBuf,
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether to print JSON instead of a table.
    pub json: bool,
    /// The baseline that replaces the default policies, if any.
    pub baseline: Option<String>,
    /// The workload.
    pub workload: Kind,
    /// Instances at the start.
    pub instances: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// The n-th organisation has a rate of 1/n^skew of the first; 0 gives all the same rate.
    pub skew: f64,
    /// Duration of the load.
    pub load_duration: Duration,
}

/// Returns the policies of a baseline.
///
/// With `reckless`, each instance also enforces the whole rate by itself.
///
/// # Errors
///
/// If there is no baseline with this name.
pub fn baseline_policy(baseline: &str) -> Result<Policy> {
    let name = baseline.to_owned();
    let mut policy = Policy::default();
    match baseline {
        "static-split" | "local-whole" => policy.limit = name,
        "random" | "nearest-only" => policy.route = name,
        "reckless" => {
            policy.attempt = name;
            policy.limit = "local-whole".to_owned();
        }
        _ => bail!(
            "unknown baseline `{baseline}`, expected one of {}",
            BASELINES.join(", ")
        ),
    }
    Ok(policy)
}

/// Runs a scenario and prints its figures; returns whether the invariants held.
///
/// # Errors
///
/// If the fleet cannot be started or a fault cannot be injected.
pub async fn run(options: BenchOptions) -> Result<bool> {
    let workload = Workload::new(options.workload, options.organisations, options.skew);
    let mut spec = default_fleet_spec(options.daemon.clone(), &workload, ROOT_TOKEN);
    spec.instances = options.instances;
    if let Some(baseline) = &options.baseline {
        spec.policy = baseline_policy(baseline)?;
    }
    eprintln!("starting {} instances", options.instances);
    let fleet = Fleet::start(spec).await?;
    put_documents(&fleet, &workload).await?;
    fleet.platform.set_lag(LIST_LAG);
    tokio::time::sleep(SETTLE_TIME).await;
    let report = run_scenario(&options, fleet, workload).await?;
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(report.figures.invariants_hold())
}

async fn put_documents(fleet: &Fleet, workload: &Workload) -> Result<()> {
    let operator = Operator::new(ROOT_TOKEN)?;
    let admin = fleet.instances[0].admin;
    let mut revision = 0;
    for (path, text) in workload.documents() {
        let put = operator.put_accepted(admin, path, &text).await;
        revision = put.wrap_err("failed to put a settings document")?;
    }
    operator.wait(admin, revision, IN_FORCE_TIMEOUT).await
}

async fn run_scenario(options: &BenchOptions, fleet: Fleet, workload: Workload) -> Result<Report> {
    let workload = Arc::new(workload);
    let instance_table = Arc::new(InstanceTable::default());
    for instance in &fleet.instances {
        instance_table.add(scenario::instance_entry(instance));
    }
    let arrivals = plan_arrivals(
        &workload,
        options.seed,
        options.load_duration,
        options.scenario.surge(),
    );
    let caller = Caller::new(load::ANSWER_TIMEOUT)?;
    let directory_task = tokio::spawn(load::poll_directory(
        Arc::clone(&instance_table),
        fleet.platform.address(),
        workload.regions.clone(),
    ));
    let calls_before = fleet.store.counts();
    let start = Instant::now();
    let progress = Arc::new(Progress::default());
    let progress_task = show_progress(Arc::clone(&progress), start, options.load_duration);
    let context = ScenarioContext {
        fleet: Arc::new(Mutex::new(fleet)),
        instance_table: Arc::clone(&instance_table),
        workload: Arc::clone(&workload),
        caller: caller.clone(),
        start,
        length: options.load_duration,
    };
    let load = LoadGenerator {
        workload: Arc::clone(&workload),
        instance_table: Arc::clone(&instance_table),
        caller,
        start,
        progress,
        seed: options.seed,
    };
    let operator = Operator::new(ROOT_TOKEN)?;
    let end = start + options.load_duration;
    let prober = Prober::new(instance_table, operator.clone(), &workload, end)?;
    let loops = loops::send_loop_requests(
        Arc::clone(&context.instance_table),
        workload.regions.len(),
        end,
    );
    let (mut samples, injected, (probe_results, revision), loops_sent) = tokio::join!(
        load.run(arrivals),
        inject_faults(options.scenario, &context),
        prober.run(change_pattern(options.scenario)),
        loops,
    );
    progress_task.abort();
    directory_task.abort();
    eprintln!();
    record::promote_answered_repeats(&mut samples);
    let injected = injected?;
    let in_force = is_last_revision_in_force(&context.instance_table, &operator, revision).await;
    let fleet = context.fleet.lock().await;
    let target_runs = record::collect_target_runs(&fleet, TOKENS_PER_CALL);
    let figures = Figures::compute(
        &workload,
        &samples,
        &target_runs,
        &probe_results,
        &injected.faults,
    );
    let mut besides = diagnostics(&samples, &probe_results);
    besides.loops_sent = loops_sent;
    besides.poison_sent = injected.poison_sent;
    besides.runs_at_leaving_target = injected.runs_at_leaving_target;
    besides.last_revision_in_force = in_force;
    add_platform_counts(
        &mut besides,
        &fleet,
        calls_before.calls(),
        options.load_duration,
    );
    Ok(Report {
        scenario: options.scenario.as_str(),
        seed: options.seed,
        baseline: options.baseline.clone(),
        workload: options.workload.as_str(),
        instances: options.instances,
        organisations: options.organisations,
        skew: options.skew,
        seconds: options.load_duration.as_secs_f64(),
        figures,
        besides,
    })
}

/// Returns how often operators change keys: rarely in all scenarios but churn.
fn change_pattern(scenario: Scenario) -> ChangePattern {
    if scenario == Scenario::Churn {
        return ChangePattern {
            teams: CHURN_TEAMS,
            pause: Duration::from_millis(200),
            race: true,
        };
    }
    ChangePattern {
        teams: 1,
        pause: Duration::from_millis(1_500),
        race: false,
    }
}

/// Returns whether the last accepted revision is in force at all live instances; `None` if no
/// revision was accepted or no instance is reachable.
async fn is_last_revision_in_force(
    instance_table: &InstanceTable,
    operator: &Operator,
    revision: u64,
) -> Option<bool> {
    if revision == 0 {
        return None;
    }
    let admin = instance_table.reachable().first()?.admin;
    Some(
        operator
            .wait(admin, revision, IN_FORCE_TIMEOUT)
            .await
            .is_ok(),
    )
}

fn diagnostics(samples: &[Sample], probe_results: &ProbeResults) -> Diagnostics {
    let mut refusals = BTreeMap::new();
    let mut start_delays = Vec::with_capacity(samples.len());
    let mut broken = Vec::new();
    for sample in samples {
        if let Completion::Broken(why) = &sample.end
            && broken.len() < MAX_BROKEN_EXAMPLES
        {
            let sent = sample.sent_at.as_secs_f64();
            let lasted = sample.total_time.as_secs_f64();
            broken.push(format!("at {sent:.2} s for {lasted:.2} s: {why}"));
        }
        start_delays.push(sample.sent_at.saturating_sub(sample.intended_at));
        if let Completion::Refused { code, .. } = &sample.end {
            *refusals.entry(code.clone()).or_insert(0) += u64::from(!sample.is_repeat);
        }
    }
    Diagnostics {
        refusals,
        broken_examples: broken,
        late_start_ms: Percentiles::of(&start_delays),
        changes_accepted: probe_results.accepted,
        changes_refused: probe_results.refused,
        changes_unknown: probe_results.unknown,
        changes_late: probe_results.late,
        ..Diagnostics::default()
    }
}

fn add_platform_counts(
    besides: &mut Diagnostics,
    fleet: &Fleet,
    calls_before: u64,
    length: Duration,
) {
    let counts = fleet.store.counts();
    let max = |by_second: &[u64]| by_second.iter().copied().max().unwrap_or(0);
    besides.store_calls_per_second = (counts.calls() - calls_before) as f64 / length.as_secs_f64();
    besides.store_reads_in_a_second = max(&counts.reads_by_second);
    besides.store_writes_in_a_second = max(&counts.writes_by_second);
    besides.waiting_watches = counts.open_watches;
    besides.megabytes_between_regions = fleet.links.inter_region_bytes() as f64 / 1e6;
    for engine in &fleet.engines {
        besides.engine_crashes += engine.crashes();
        besides.wrong_resumes += engine.wrong_resumes();
    }
}

fn show_progress(progress: Arc<Progress>, start: Instant, length: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
            let now = start.elapsed().as_secs_f64().min(length.as_secs_f64());
            eprint!(
                "\r{now:4.0} of {:.0} s, sent {}, answered {}, refused {}, failed {}   ",
                length.as_secs_f64(),
                progress.sent.load(Ordering::Relaxed),
                progress.answered.load(Ordering::Relaxed),
                progress.refused.load(Ordering::Relaxed),
                progress.failed.load(Ordering::Relaxed),
            );
        }
    })
}
