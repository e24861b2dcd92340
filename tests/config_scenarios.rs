//! Scenarios of configuration changes and outages in tests/scenarios/config.
//!
//! The function that runs a directive describes it. Virtual time passes only in `run` and in
//! changes. In arguments, `.` stands for the `/` of a document path.

#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use datadriven::{TestCase, walk};
use limpetstand::config::Revision;
use limpetstand::config::commit::{DocumentOperation, Outcome, Proposal};
use limpetstand::config::head::ChangeId;
use limpetstand::config::operator::Operator;
use limpetstand::config::path::DocumentPath;
use limpetstand::config::tree::Tree;
use tokio::runtime::{Builder, Runtime};

#[path = "common/mod_config.rs"]
mod common;

use common::config_rig::Rig;

struct Scenario {
    runtime: Runtime,
    rig: Rig,
    backup: BTreeMap<String, Bytes>,
    next_id: u32,
}

impl Scenario {
    fn new() -> Self {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("present");
        Self {
            runtime,
            rig: Rig::new(),
            backup: BTreeMap::new(),
            next_id: 0,
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "start" => self.start(case),
            "kill" => self.kill(case),
            "put" | "delete" | "rollback" => self.change(case),
            "store" => self.store(case),
            "backup" => self.save_backup(),
            "restore" => self.restore(),
            "isolate" => self.isolate(case, true),
            "mend" => self.isolate(case, false),
            "run" => self.run_for(case),
            "revisions" => self.revisions(),
            "unconfirmed" => self.unconfirmed(case),
            "check" => check(case),
            "path" => path(case),
            other => panic!("unknown directive `{other}`"),
        }
    }

    /// Starts instances; the letters of an instance's name are its region.
    fn start(&mut self, case: &mut TestCase) -> String {
        let _entered = self.runtime.enter();
        for name in case.take_args::<String>("instances").expect("present") {
            self.rig.start(&name);
        }
        "ok\n".to_owned()
    }

    fn kill(&mut self, case: &mut TestCase) -> String {
        for name in case.take_args::<String>("instances").expect("present") {
            self.rig.kill(&name);
        }
        "ok\n".to_owned()
    }

    /// Commits a change at an instance; `by` is a team and its subtree, and is absent for the root
    /// operator.
    fn change(&mut self, case: &mut TestCase) -> String {
        let by: Option<Vec<String>> = case.try_take_args("by").expect("present");
        let operator = match by.as_deref() {
            None => Operator::root(),
            Some([team, root]) => Operator::of_team(team.as_str(), root.as_str()),
            Some(_) => panic!("by=(team, root)"),
        };
        self.next_id += 1;
        let id: Option<String> = case.try_take_arg("id").expect("present");
        let id = id.unwrap_or_else(|| format!("change-{}", self.next_id));
        let operation = match case.directive.as_str() {
            "put" => DocumentOperation::Put(document(case), case.input.as_str().into()),
            "delete" => DocumentOperation::Delete(document(case)),
            _ => DocumentOperation::Rollback(Revision(case.take_arg("to").expect("present"))),
        };
        let if_match: Option<u64> = case.try_take_arg("if-match").expect("present");
        let proposal = Proposal::new(operator, ChangeId::parse(&id).expect("present"), operation)
            .if_match(if_match.map(Revision))
            .dry_run(case.take_flag("dry-run").expect("present"));
        let at: Option<String> = case.try_take_arg("at").expect("present");
        let instance = match at {
            Some(name) => &self.rig.instances[&name],
            None => self.rig.instances.values().next().expect("present"),
        };
        show(&self.runtime.block_on(instance.committer.commit(&proposal)))
    }

    /// Sets the faults of the store.
    fn store(&mut self, case: &mut TestCase) -> String {
        let down = case.take_flag("down").expect("present");
        let up = case.take_flag("up").expect("present");
        let mute = case.take_flag("mute-watches").expect("present");
        let lose_answers: Option<u32> = case.try_take_arg("lose-answers").expect("present");
        let lose_writes: Option<u32> = case.try_take_arg("lose-writes").expect("present");
        let delay: Option<u64> = case.try_take_arg("delay-ms").expect("present");
        if case.take_flag("compact").expect("present") {
            self.rig.store.compact_watches();
        }
        if case.take_flag("break-watches").expect("present") {
            self.rig.store.break_watches();
        }
        self.rig.store.faults(|f| {
            f.down = (f.down || down) && !up;
            f.silence_watches |= mute;
            f.lose_answers += lose_answers.unwrap_or_default();
            f.lose_writes += lose_writes.unwrap_or_default();
            if let Some(ms) = delay {
                f.delay = Duration::from_millis(ms);
            }
        });
        "ok\n".to_owned()
    }

    fn save_backup(&mut self) -> String {
        self.backup = self.rig.store.copy();
        "ok\n".to_owned()
    }

    /// Restores the store from its backup.
    fn restore(&mut self) -> String {
        self.rig.store.restore(&self.backup);
        "ok\n".to_owned()
    }

    /// Cuts or reconnects the links of a region, the link to the store included.
    fn isolate(&mut self, case: &mut TestCase, is_cut: bool) -> String {
        let region: String = case.take_arg("region").expect("present");
        self.rig.isolate(&region, is_cut);
        "ok\n".to_owned()
    }

    fn run_for(&mut self, case: &mut TestCase) -> String {
        let time = Duration::from_millis(case.take_arg("ms").expect("present"));
        self.runtime.block_on(self.rig.run(time));
        "ok\n".to_owned()
    }

    /// Shows the revision in force at each instance.
    fn revisions(&mut self) -> String {
        let mut text = String::new();
        for (name, revision) in self.rig.revisions() {
            writeln!(text, "{name} {revision}").expect("present");
        }
        text
    }

    /// Lists the instances whose last confirmation is older than `ms`.
    fn unconfirmed(&mut self, case: &mut TestCase) -> String {
        let _entered = self.runtime.enter();
        let time = Duration::from_millis(case.take_arg("ms").expect("present"));
        let mut text = "since:\n".to_owned();
        for (name, instance) in &self.rig.instances {
            let age = instance.distribution.freshness().age();
            if age.is_none_or(|age| age > time) {
                writeln!(text, "{name}").expect("present");
            }
        }
        text
    }
}

fn document(case: &mut TestCase) -> DocumentPath {
    let path: String = case.take_arg("path").expect("present");
    DocumentPath::parse(&path.replace('.', "/")).expect("present")
}

fn show(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted(revision) => format!("accepted {}\n", revision.0),
        Outcome::Refused(faults) => {
            let mut text = "refused\n".to_owned();
            for fault in faults {
                writeln!(text, "{fault}").expect("present");
            }
            text
        }
        Outcome::Forbidden(why) => format!("forbidden: {why}\n"),
        Outcome::Conflict(conflict) => format!(
            "conflict with {}\ntheirs: {:?}\nyours: {:?}\n",
            conflict.revision.0, conflict.theirs, conflict.yours
        ),
        Outcome::Unreachable(_) => "unreachable\n".to_owned(),
        Outcome::Unknown(_) => "unknown\n".to_owned(),
    }
}

/// Checks documents as one tree; each starts with a line `== PATH`.
fn check(case: &TestCase) -> String {
    let mut tree = Tree::default();
    for part in case.input.split("== ").skip(1) {
        let (path, text) = part.split_once('\n').expect("present");
        tree.put(DocumentPath::parse(path).expect("present"), text.into());
    }
    match tree.check() {
        Ok(_) => "no faults\n".to_owned(),
        Err(faults) => {
            let mut text = String::new();
            for fault in faults {
                writeln!(text, "{fault}").expect("present");
            }
            text
        }
    }
}

/// Parses each line of the input as a path and shows whether the path lies within `root`.
fn path(case: &mut TestCase) -> String {
    let root: String = case.take_arg("root").expect("present");
    let mut text = String::new();
    for line in case.input.lines() {
        match DocumentPath::parse(line) {
            Ok(path) => writeln!(text, "{line}: {}", path.is_within(&root)).expect("present"),
            Err(e) => writeln!(text, "{e}").expect("present"),
        }
    }
    text
}

#[test]
fn scenarios() {
    walk("tests/scenarios/config", |file| {
        let mut scenario = Scenario::new();
        file.run(|case| -> Result<String, String> {
            let text = scenario.run(case);
            case.expect_empty().map_err(|e| e.to_string())?;
            Ok(text)
        });
    });
}
