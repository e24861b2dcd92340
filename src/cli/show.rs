//! Output of answers as text for people.

use super::difference::{Line, lines};
use crate::admin::wire::{
    ChangeAnswer, ChangeOutcome, DiffAnswer, HeadAnswer, LogAnswer, StatusAnswer, WaitAnswer,
};
use crate::report::BurnReport;

/// The number of unchanged lines shown before and after a difference.
const CONTEXT_LINES: usize = 2;

pub(super) fn change(answer: &ChangeAnswer) {
    let revision = answer.revision.unwrap_or_default();
    match answer.outcome {
        ChangeOutcome::Accepted => println!("accepted: revision {revision}"),
        ChangeOutcome::Refused => println!("refused: nothing changed"),
        ChangeOutcome::Conflict => println!("conflict: changed by revision {revision}"),
        ChangeOutcome::Unknown => println!(
            "unknown: the change may have taken effect; send it again with --change-id {} to learn its outcome",
            answer.change_id
        ),
    }
    for fault in &answer.faults {
        println!("  {fault}");
    }
    if let Some(conflict) = &answer.conflict {
        println!("--- {}: theirs", conflict.path);
        println!("+++ {}: yours", conflict.path);
        print_difference(conflict.theirs.as_deref(), conflict.yours.as_deref());
    }
}

pub(super) fn head(answer: &HeadAnswer) {
    println!("revision {}", answer.revision);
    if !answer.from_store {
        println!("(not read from the store: these are the documents in force on the instance)");
    }
    for document in &answer.documents {
        println!("{:>8}  {}", document.revision, document.path);
    }
}

pub(super) fn log(answer: &LogAnswer) {
    for change in &answer.changes {
        let rollback = match change.rollback_to {
            Some(to) => format!(" (rollback to {to})"),
            None => String::new(),
        };
        println!(
            "revision {} by {} at {} s{rollback}, change {}",
            change.revision, change.author, change.unix_s, change.change_id
        );
        for path in &change.written {
            println!("  wrote   {path}");
        }
        for path in &change.deleted {
            println!("  deleted {path}");
        }
    }
}

pub(super) fn diff(answer: &DiffAnswer) {
    for document in &answer.documents {
        println!("--- {} at {}", document.path, answer.from);
        println!("+++ {} at {}", document.path, answer.to);
        print_difference(document.before.as_deref(), document.after.as_deref());
    }
    if answer.documents.is_empty() {
        println!("no differences");
    }
}

pub(super) fn burn(report: &BurnReport) {
    println!("counts of {} instances", report.instances);
    for id in &report.missing {
        println!("(no answer from {id}: its counts are missing)");
    }
    println!(
        "{:<28} {:>7} {:>9} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}  alert",
        "objective", "target", "requests", "missed", "5 min", "1 h", "6 h", "3 d", "left"
    );
    for line in &report.lines {
        println!(
            "{:<28} {:>7} {:>9} {:>7} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>7.1}%  {}",
            line.objective,
            line.target,
            line.total,
            line.bad,
            line.burn_5m,
            line.burn_1h,
            line.burn_6h,
            line.burn_3d,
            line.budget_left * 100.0,
            line.alert
        );
    }
}

/// Prints the lines that differ, with some unchanged lines before and after them.
fn print_difference(before: Option<&str>, after: Option<&str>) {
    let all = lines(before.unwrap_or_default(), after.unwrap_or_default());
    let is_near = |at: usize| {
        let from = at.saturating_sub(CONTEXT_LINES);
        let to = (at + CONTEXT_LINES + 1).min(all.len());
        all[from..to].iter().any(|l| !matches!(l, Line::Same(_)))
    };
    for (at, line) in all.iter().enumerate() {
        match line {
            Line::Removed(text) => println!("-{text}"),
            Line::Added(text) => println!("+{text}"),
            Line::Same(text) if is_near(at) => println!(" {text}"),
            Line::Same(_) => {}
        }
    }
}

pub(super) fn wait(answer: &WaitAnswer) {
    if answer.in_force {
        println!("revision {} is in force everywhere", answer.revision);
        return;
    }
    println!("revision {} is not yet in force at:", answer.revision);
    for lagging in &answer.lagging {
        match lagging.revision {
            Some(revision) => println!("  {} (has {revision})", lagging.instance),
            None => println!("  {} (no answer)", lagging.instance),
        }
    }
}

pub(super) fn status(answer: &StatusAnswer) {
    println!(
        "{}: revision {} in force, known to be the newest {} ago; {} targets listed",
        answer.instance,
        answer.revision,
        age(answer.config_age_ms),
        answer.targets
    );
    let store = &answer.store;
    println!(
        "store: {} calls made, {} refused over budget, {} watches, {} calls a second allowed",
        store.calls, store.refused, store.watches, store.calls_per_second
    );
    println!("instance                 region           health   revision  age");
    for instance in &answer.instances {
        let revision = match instance.revision {
            Some(revision) => revision.to_string(),
            None => "-".to_owned(),
        };
        println!(
            "{:<24} {:<16} {:<8} {:>8}  {}",
            instance.instance,
            instance.region,
            instance.health,
            revision,
            age(instance.config_age_ms)
        );
    }
}

fn age(ms: Option<u64>) -> String {
    match ms {
        Some(ms) => format!("{}.{} s", ms / 1000, ms % 1000 / 100),
        None => "-".to_owned(),
    }
}
