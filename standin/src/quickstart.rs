//! The quickstart: starts a fleet, sends sample requests and checks the answers.

mod steps;

use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use tokio::time::Instant;

use crate::caller::{Caller, Completion, Outcome};
use crate::engine::Pace;
use crate::fleet::{Fleet, FleetSpec, Instance, Policy};
use crate::link::RegionIndex;
use crate::operator::Operator;
use crate::workload::{Kind, MODEL, SERVICE_ROUTE, Workload};
use steps::{Step, steps};

const ROOT_TOKEN: &str = "quickstart-root-token";
/// Time after which the burst of the trial organisation is full; see [`TRIAL_DOCUMENT`].
const TRIAL_FILL_TIME: Duration = Duration::from_secs(24);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const INSTANCES: usize = 9;
const ENGINES_PER_REGION: usize = 4;
const ORGANISATIONS: usize = 5;

/// The document of the trial organisation, whose small burst is there to be exceeded.
///
/// A new fleet starts without any burst. The burst fills at the organisation's rate, here in 12 s,
/// once the limiter has its first ledger, which takes up to 10 s.
const TRIAL_DOCUMENT: &str = "[organisations.trial]\nrate = 10\nburst = 120\n";
/// API key of the trial organisation.
pub(crate) const TRIAL_KEY: &str = "trial-key.9d1f0c57a1";

/// Returns an engine pace at which the default fleet is busy but not saturated.
pub fn default_pace() -> Pace {
    Pace {
        tokens_per_second: 400.0,
        tokens_per_second_each: 100.0,
        prefill_per_second: 8_000.0,
        slots: 8,
        cache_blocks: 600,
    }
}

/// Returns the specification of the default fleet for a workload.
pub fn default_fleet_spec(daemon: PathBuf, workload: &Workload, root_token: &str) -> FleetSpec {
    let mut secrets = workload.secrets();
    secrets.push(root_token.to_owned());
    FleetSpec {
        daemon,
        regions: workload.regions.clone(),
        instances: INSTANCES,
        engines_per_region: ENGINES_PER_REGION,
        pace: default_pace(),
        model: MODEL.to_owned(),
        service: SERVICE_ROUTE.to_owned(),
        prices: vec![1.0, 0.9, 1.1],
        secrets,
        root_token: root_token.to_owned(),
        policy: Policy::default(),
        drain: None,
    }
}

/// Starts a fleet, sends requests and checks each answer.
///
/// With `stay`, the fleet then runs until Ctrl-C.
///
/// # Errors
///
/// If the fleet does not start, or any check fails.
pub async fn run(daemon: PathBuf, stay: bool) -> Result<()> {
    let workload = Workload::new(Kind::Bookings, ORGANISATIONS, 1.0);
    let mut spec = default_fleet_spec(daemon, &workload, ROOT_TOKEN);
    spec.secrets.push(TRIAL_KEY.to_owned());
    println!(
        "starting {INSTANCES} instances in {}",
        workload.regions.join(", ")
    );
    let fleet = Fleet::start(spec).await?;
    let revision = put_documents(&fleet, &workload).await?;
    println!("settings revision {revision} is in force at all instances\n");
    let burst_filled_at = Instant::now() + TRIAL_FILL_TIME;
    let caller = Caller::new(ANSWER_TIMEOUT)?;
    let mut failures = 0;
    print_header();
    for step in steps(&workload) {
        if step.request.key.as_deref() == Some(TRIAL_KEY) {
            tokio::time::sleep_until(burst_filled_at).await;
        }
        failures += usize::from(!run_step(&fleet, &caller, &step).await?);
    }
    failures += check_targets(&fleet);
    if stay {
        stay_up(&fleet, &workload).await?;
    }
    match failures {
        0 => Ok(()),
        n => Err(eyre!("{n} checks failed")),
    }
}

async fn put_documents(fleet: &Fleet, workload: &Workload) -> Result<u64> {
    let operator = Operator::new(&fleet.spec.root_token)?;
    let admin = fleet.instances[0].admin;
    let mut documents = workload.documents();
    documents.push(("trial/organisations", TRIAL_DOCUMENT.to_owned()));
    documents.push(("trial/keys", crate::workload::key_entry(TRIAL_KEY, "trial")));
    let mut revision = 0;
    for (path, text) in documents {
        let put = operator.put_accepted(admin, path, &text).await;
        revision = put.wrap_err("cannot write the configuration document")?;
    }
    operator.wait(admin, revision, IN_FORCE_TIMEOUT).await?;
    Ok(revision)
}

async fn run_step(fleet: &Fleet, caller: &Caller, step: &Step) -> Result<bool> {
    let region = RegionIndex(step.region);
    let instance = instance_in(fleet, region)?;
    let outcome = caller.send(instance.front, &step.request).await;
    let as_expected = step.expected.matches(&outcome, &fleet.spec.regions);
    print_row(fleet.region_name(region), step, &outcome, as_expected);
    Ok(as_expected)
}

fn instance_in(fleet: &Fleet, region: RegionIndex) -> Result<&Instance> {
    let mut instances = fleet.instances.iter();
    let instance = instances.find(|i| i.region == region);
    instance.ok_or_else(|| eyre!("no instance in {}", fleet.region_name(region)))
}

/// Checks the records of the targets and returns the number of failures.
///
/// A key that reached a target and a repeated run of a service are failures.
fn check_targets(fleet: &Fleet) -> usize {
    let mut failures = 0;
    for engine in &fleet.engines {
        let leaks = engine.runs().iter().filter(|r| r.leaked_key).count();
        failures += leaks;
    }
    let mut run_ids = Vec::new();
    for service in &fleet.services {
        for run in service.runs() {
            failures += usize::from(run.leaked_key);
            run_ids.push(run.run_id);
        }
    }
    let runs = run_ids.len();
    run_ids.sort();
    run_ids.dedup();
    failures += runs - run_ids.len();
    println!(
        "\nservice runs {runs}, run twice {}; faults at targets {failures}",
        runs - run_ids.len()
    );
    failures
}

fn print_header() {
    println!(
        "{:<44} {:<14} {:<30} {:>8} {:>8}  as expected",
        "asked", "from", "served", "first ms", "all ms"
    );
}

fn print_row(from: &str, step: &Step, outcome: &Outcome, as_expected: bool) {
    let served = match &outcome.end {
        Completion::Answered => outcome.target.clone().unwrap_or_else(|| "?".to_owned()),
        Completion::Wrong(why) => format!("wrong: {why}"),
        Completion::Refused { code, not_run, .. } => {
            let ran = if *not_run { "no" } else { "unknown" };
            format!("refused {code}, ran {ran}")
        }
        Completion::NotSent(why) | Completion::Broken(why) => format!("failed: {why}"),
    };
    println!(
        "{:<44} {:<14} {:<30} {:>8} {:>8}  {}",
        step.description,
        from,
        served,
        outcome.time_to_first_text.as_millis(),
        outcome.total_time.as_millis(),
        if as_expected { "yes" } else { "NO" }
    );
    if !as_expected {
        println!("    wanted: {}", step.expected.describe());
    }
}

async fn stay_up(fleet: &Fleet, workload: &Workload) -> Result<()> {
    let key = &workload.organisations[0].key;
    println!("\nthe fleet stays up until Ctrl-C; try:\n");
    for instance in fleet.instances.iter().take(workload.regions.len()) {
        println!(
            "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {key}' \
             -d '{{\"model\": \"{MODEL}\", \"stream\": true, \"messages\": \
             [{{\"role\": \"user\", \"content\": \"four tarts please\"}}]}}'",
            instance.front
        );
    }
    let first = &fleet.instances[0];
    println!(
        "curl -i http://{}/service/{SERVICE_ROUTE}/run -H 'authorization: Bearer {key}' \
         -H 'idempotency-key: one' -d '{{\"x-run-id\": \"one\"}}'",
        first.front
    );
    println!("curl http://{}/v1/entries", first.front);
    println!("curl http://{}/v1/status", first.admin);
    println!("curl http://{}/metrics", first.admin);
    println!("\nthe operators' root token is {}", fleet.spec.root_token);
    tokio::signal::ctrl_c().await.wrap_err("Ctrl-C")
}
