//! Checks the merged entries of all documents.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use smol_str::SmolStr;

use super::locate::UnlocatedFault;
use super::path::DocumentPath;
use super::{Document, Key, Objective, ObjectiveKind, Organisation, Placement, Route, Team};
use crate::id::RegionId;

/// The maximum rate or burst, in tokens.
pub(super) const MAX_TOKENS: u64 = 1_000_000_000_000;

/// The maximum weight of an organisation.
pub(super) const MAX_WEIGHT: f64 = 1_000_000.0;

/// The maximum length of a name in bytes.
pub(super) const MAX_NAME_BYTES: usize = 200;

/// The maximum number of targets of a placement in one region.
pub(super) const MAX_PLACED_TARGETS: u32 = 10_000;

/// The document that defines each entry.
#[derive(Default)]
pub(super) struct Origins<'a> {
    entries: HashMap<(&'static str, SmolStr), (&'a DocumentPath, &'a Arc<str>)>,
}

impl<'a> Origins<'a> {
    /// Records an entry; returns the document that already defines the entry, if any.
    pub(super) fn insert(
        &mut self,
        kind: &'static str,
        name: SmolStr,
        path: &'a DocumentPath,
        text: &'a Arc<str>,
    ) -> Option<&'a DocumentPath> {
        let first = self.entries.insert((kind, name), (path, text))?;
        Some(first.0)
    }
}

/// Checks field values and references between entries over all documents.
pub(super) fn check_merged<'a>(
    merged: &Document,
    origins: &Origins<'a>,
    faults: &mut Vec<UnlocatedFault<'a>>,
) {
    let mut checker = Checker {
        merged,
        origins,
        faults,
    };
    for (name, organisation) in &merged.organisations {
        checker.check_organisation(name.as_str(), organisation);
    }
    for (name, key) in &merged.keys {
        checker.check_key(name.as_str(), key);
    }
    for (name, route) in &merged.routes {
        checker.check_route(name.as_str(), route);
    }
    for (name, placement) in &merged.placements {
        checker.check_placement(name.as_str(), placement);
    }
    for (name, objective) in &merged.objectives {
        checker.check_objective(name, objective);
    }
    for (name, team) in &merged.teams {
        checker.check_team(name, team);
    }
    checker.check_one_route_per_model();
}

struct Checker<'a, 'b> {
    merged: &'a Document,
    origins: &'a Origins<'b>,
    faults: &'a mut Vec<UnlocatedFault<'b>>,
}

impl Checker<'_, '_> {
    fn add_fault(
        &mut self,
        kind: &'static str,
        name: &str,
        field: &str,
        message: impl Into<String>,
    ) {
        let Some((path, text)) = self.origins.entries.get(&(kind, name.into())) else {
            return;
        };
        self.faults.push(UnlocatedFault {
            path,
            text,
            keys: vec![kind.into(), name.into(), field.into()],
            message: format!("{kind}.{name}: {}", message.into()),
        });
    }

    fn check_name(&mut self, kind: &'static str, name: &str) {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            self.add_fault(kind, name, "", "a name must have 1 to 200 bytes");
        }
        if name.chars().any(|c| c.is_control() || c.is_whitespace()) {
            self.add_fault(
                kind,
                name,
                "",
                "a name must not contain spaces or control characters",
            );
        }
    }

    fn check_organisation(&mut self, name: &str, organisation: &Organisation) {
        const KIND: &str = "organisations";
        self.check_name(KIND, name);
        self.check_tokens(KIND, name, "rate", organisation.rate);
        self.check_tokens(KIND, name, "burst", organisation.burst);
        if organisation.burst == 0 {
            self.add_fault(KIND, name, "burst", "must be 1 or more");
        }
        let weight = organisation.weight;
        if !(weight > 0.0 && weight <= MAX_WEIGHT) {
            let message = format!("must be greater than 0 and at most {MAX_WEIGHT}");
            self.add_fault(KIND, name, "weight", message);
        }
        self.check_regions(KIND, name, organisation.regions.as_deref());
    }

    fn check_tokens(&mut self, kind: &'static str, name: &str, field: &str, tokens: u64) {
        if tokens > MAX_TOKENS {
            self.add_fault(
                kind,
                name,
                field,
                format!("`{field}` is more than {MAX_TOKENS}"),
            );
        }
    }

    fn check_regions(&mut self, kind: &'static str, name: &str, regions: Option<&[RegionId]>) {
        let Some(regions) = regions else {
            return;
        };
        if regions.is_empty() {
            let message = "residency leaves no region; omit `regions` to allow all";
            self.add_fault(kind, name, "regions", message);
        }
        for region in regions {
            if region.as_str().is_empty() {
                self.add_fault(kind, name, "regions", "a region name must not be empty");
            }
        }
    }

    fn check_key(&mut self, name: &str, key: &Key) {
        const KIND: &str = "keys";
        self.check_name(KIND, name);
        if name.contains('.') {
            self.add_fault(KIND, name, "", "a key name must not contain `.`");
        }
        self.check_hash(KIND, name, &key.hash);
        if !self.merged.organisations.contains_key(&key.organisation) {
            let message = format!("no organisation named `{}`", key.organisation);
            self.add_fault(KIND, name, "organisation", message);
        }
    }

    fn check_hash(&mut self, kind: &'static str, name: &str, hash: &str) {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if hash.len() != 64 || !hash.bytes().all(is_hex) {
            let message = "must be 64 lower-case hexadecimal digits";
            self.add_fault(kind, name, "hash", message);
        }
    }

    fn check_route(&mut self, name: &str, route: &Route) {
        const KIND: &str = "routes";
        self.check_name(KIND, name);
        if route.model.is_some() == route.service.is_some() {
            self.add_fault(KIND, name, "", "needs exactly one of `model` and `service`");
        }
        self.check_regions(KIND, name, route.regions.as_deref());
        self.check_tokens(KIND, name, "tokens_per_call", route.tokens_per_call);
        if route.open && route.organisations.is_some() {
            let message = "an open route admits all callers; omit `organisations`";
            self.add_fault(KIND, name, "organisations", message);
        }
        for organisation in route.organisations.iter().flatten() {
            let Some(known) = self.merged.organisations.get(organisation) else {
                let message = format!("no organisation named `{organisation}`");
                self.add_fault(KIND, name, "organisations", message);
                continue;
            };
            if are_disjoint(known.regions.as_deref(), route.regions.as_deref()) {
                let message = format!("residency leaves no region for `{organisation}`");
                self.add_fault(KIND, name, "regions", message);
            }
        }
        let Some(model) = &route.model else {
            return;
        };
        let Some(placement) = self.merged.placements.get(model) else {
            return;
        };
        let Some(regions) = &route.regions else {
            return;
        };
        if !regions.iter().any(|r| placement.targets.contains_key(r)) {
            let message = format!("residency leaves no region in which `{model}` is placed");
            self.add_fault(KIND, name, "regions", message);
        }
    }

    fn check_placement(&mut self, name: &str, placement: &Placement) {
        const KIND: &str = "placements";
        self.check_name(KIND, name);
        for (region, targets) in &placement.targets {
            if region.as_str().is_empty() {
                self.add_fault(KIND, name, "targets", "a region name must not be empty");
            }
            if *targets > MAX_PLACED_TARGETS {
                let message = format!("more than {MAX_PLACED_TARGETS} targets in `{region}`");
                self.add_fault(KIND, name, "targets", message);
            }
        }
    }

    fn check_objective(&mut self, name: &str, objective: &Objective) {
        const KIND: &str = "objectives";
        self.check_name(KIND, name);
        if !(objective.target > 0.0 && objective.target < 1.0) {
            self.add_fault(
                KIND,
                name,
                "target",
                "must be greater than 0 and less than 1",
            );
        }
        let is_latency = objective.kind == ObjectiveKind::Latency;
        if is_latency != objective.threshold_ms.is_some() {
            let message =
                "`threshold_ms` is required for kind `latency` and not allowed for other kinds";
            self.add_fault(KIND, name, "threshold_ms", message);
        }
        if let Some(organisation) = &objective.organisation
            && !self.merged.organisations.contains_key(organisation)
        {
            let message = format!("no organisation named `{organisation}`");
            self.add_fault(KIND, name, "organisation", message);
        }
        if let Some(route) = &objective.route
            && !self.merged.routes.contains_key(route)
        {
            self.add_fault(KIND, name, "route", format!("no route named `{route}`"));
        }
    }

    fn check_team(&mut self, name: &str, team: &Team) {
        const KIND: &str = "teams";
        self.check_name(KIND, name);
        self.check_hash(KIND, name, &team.hash);
        if !team.root.is_empty()
            && let Err(e) = DocumentPath::parse(&team.root)
        {
            self.add_fault(KIND, name, "root", e.to_string());
        }
    }

    /// Checks that each model has at most one route; with several routes, the rules of the first
    /// route found would apply.
    fn check_one_route_per_model(&mut self) {
        let mut seen = BTreeMap::new();
        for (name, route) in &self.merged.routes {
            let Some(model) = &route.model else {
                continue;
            };
            let Some(first) = seen.insert(model, name) else {
                continue;
            };
            let message = format!("model `{model}` already has the route `{first}`");
            self.add_fault("routes", name.as_str(), "model", message);
        }
    }
}

/// Returns whether two residency rules have no region in common.
fn are_disjoint(a: Option<&[RegionId]>, b: Option<&[RegionId]>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => !a.iter().any(|r| b.contains(r)),
        _ => false,
    }
}
