//! The report of a run, as JSON or as a table.

use std::fmt::Write as _;

use serde::Serialize;

use super::figures::{Figures, MedianAndMax, Percentiles};

/// The figures of a run with the options it was started with.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: &'static str,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The baseline that replaced the default policies, if any.
    pub baseline: Option<String>,
    /// The workload.
    pub workload: &'static str,
    /// Instances at the start.
    pub instances: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// The n-th organisation has a rate of 1/n^skew of the first.
    pub skew: f64,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// The figures.
    #[serde(flatten)]
    pub figures: Figures,
    /// Further counts.
    #[serde(flatten)]
    pub besides: Diagnostics,
}

/// Further counts that help to explain the figures.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Diagnostics {
    /// Refused requests by code, repeats excluded.
    pub refusals: std::collections::BTreeMap<String, u64>,
    /// The first broken requests, with the errors.
    pub broken_examples: Vec<String>,
    /// Calls to the store per second, averaged over the duration of the load.
    pub store_calls_per_second: f64,
    /// The highest number of reads that the store received in one second.
    pub store_reads_in_a_second: u64,
    /// The highest number of writes that the store received in one second.
    pub store_writes_in_a_second: u64,
    /// Watches open at the store at the end of the run.
    pub waiting_watches: u64,
    /// Megabytes transferred between regions.
    pub megabytes_between_regions: f64,
    /// Crashes of engines.
    pub engine_crashes: u64,
    /// Times that the engine-crashing request was sent.
    pub poison_sent: u64,
    /// Requests sent for the plain service to forward back to the gateway.
    pub loops_sent: u64,
    /// Runs that a leaving target received after its grace period.
    pub runs_at_leaving_target: u64,
    /// Requests resumed from text that the engine would not have generated.
    pub wrong_resumes: u64,
    /// Settings changes that were accepted.
    pub changes_accepted: u64,
    /// Settings changes that were refused or in conflict.
    pub changes_refused: u64,
    /// Settings changes whose outcome stayed unknown.
    pub changes_unknown: u64,
    /// Times that an instance did not apply a change within the timeout.
    pub changes_late: u64,
    /// Whether the last accepted revision was in force at all live instances at the end.
    pub last_revision_in_force: Option<bool>,
    /// Delay of requests after their intended start, in milliseconds.
    pub late_start_ms: Percentiles,
}

impl Report {
    /// Renders the report as a table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let baseline = self.baseline.as_deref().unwrap_or("none");
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{} · {} · seed {} · baseline {baseline} · {} instances · {} s",
            self.scenario, self.workload, self.seed, self.instances, self.seconds
        );
        for (name, value) in self.rows() {
            let _ = writeln!(text, "  {name:<28} {value}");
        }
        for o in &self.figures.by_organisation {
            let _ = writeln!(
                text,
                "  {:<28} {} requests, {} wrongfully refused, served share {:.4}, overspend {:.4}",
                o.name, o.requests, o.wrongfully_refused, o.served_share, o.overspend_ratio
            );
        }
        for example in &self.besides.broken_examples {
            let _ = writeln!(text, "  - broken {example}");
        }
        for note in &self.figures.violations {
            let _ = writeln!(text, "  ! {note}");
        }
        let verdict = if self.figures.invariants_hold() {
            "held"
        } else {
            "BROKEN"
        };
        let _ = writeln!(text, "  {:<28} {verdict}", "invariants");
        text
    }

    fn rows(&self) -> Vec<(&'static str, String)> {
        let f = &self.figures;
        let b = &self.besides;
        let mut rows = vec![
            ("requests", f.requests.to_string()),
            ("answered", f.answered.to_string()),
            ("refused", format!("{} {:?}", f.refused, b.refusals)),
            ("repeatable_in_doubt", f.repeatable_in_doubt.to_string()),
            ("broken", f.broken.to_string()),
            (
                "refused_within_rate_share",
                format!("{:.4}", f.refused_within_rate_share),
            ),
            (
                "worst_organisation_share",
                format!("{:.4}", f.worst_organisation_share),
            ),
            ("overspend_ratio", format!("{:.4}", f.overspend_ratio)),
            ("other_region_share", format!("{:.4}", f.other_region_share)),
            ("cost", format!("{:.2}", f.cost)),
            ("ttft_ms", percentiles(&f.ttft_ms)),
            ("stream_ttft_ms", percentiles(&f.stream_ttft_ms)),
            ("total_ms", percentiles(&f.total_ms)),
        ];
        for (name, count) in f.invariant_counts() {
            rows.push((name, count.to_string()));
        }
        rows.push(("config_in_force_ms", median_and_max(&f.config_in_force_ms)));
        rows.push(("key_withdrawn_ms", median_and_max(&f.key_withdrawn_ms)));
        rows.push(("recovery_ms", optional_ms(f.recovery_ms)));
        rows.push((
            "store calls a second",
            format!("{:.1}", b.store_calls_per_second),
        ));
        let store = format!(
            "{} / {}",
            b.store_reads_in_a_second, b.store_writes_in_a_second
        );
        rows.push(("store reads/writes, most", store));
        rows.push(("waiting watches", b.waiting_watches.to_string()));
        rows.push((
            "MB between regions",
            format!("{:.2}", b.megabytes_between_regions),
        ));
        let poison = format!("{} of {} sendings", b.engine_crashes, b.poison_sent);
        rows.push(("engine crashes", poison));
        rows.push((
            "runs at leaving target",
            b.runs_at_leaving_target.to_string(),
        ));
        rows.push(("wrong resumes", b.wrong_resumes.to_string()));
        let changes = format!(
            "{} accepted, {} refused, {} unknown, {} late; last in force: {:?}",
            b.changes_accepted,
            b.changes_refused,
            b.changes_unknown,
            b.changes_late,
            b.last_revision_in_force
        );
        rows.push(("changes", changes));
        rows.push(("late starts ms", percentiles(&b.late_start_ms)));
        rows
    }
}

fn percentiles(t: &Percentiles) -> String {
    format!("p50 {:.0}  p95 {:.0}  p99 {:.0}", t.p50, t.p95, t.p99)
}

fn median_and_max(s: &MedianAndMax) -> String {
    format!("p50 {}  max {}", optional_ms(s.p50), optional_ms(s.max))
}

fn optional_ms(ms: Option<f64>) -> String {
    ms.map_or("-".to_owned(), |ms| format!("{ms:.0}"))
}
