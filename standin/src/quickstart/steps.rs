//! The requests of the quickstart and their expected outcomes.

use super::TRIAL_KEY;
use crate::caller::{Completion, Outcome, Payload, Request};
use crate::workload::{MODEL, Organisation, SERVICE_ROUTE, Workload};

/// The expected outcome of a request.
pub(super) enum Expected {
    /// A complete answer from one of the regions with these indices.
    Answer(Vec<usize>),
    /// A refusal with this code and `ran: no`.
    NotRun(&'static str),
    /// For a repeated request: an answer, or the refusal `already_claimed`.
    NoSecondRun,
}

impl Expected {
    pub(super) fn matches(&self, outcome: &Outcome, regions: &[String]) -> bool {
        match (self, &outcome.end) {
            (Self::Answer(allowed), Completion::Answered) => {
                let region = outcome.region.as_deref();
                let index = regions.iter().position(|r| Some(r.as_str()) == region);
                index.is_some_and(|i| allowed.contains(&i))
            }
            (Self::NotRun(expected), Completion::Refused { code, not_run, .. }) => {
                code == expected && *not_run
            }
            (Self::NoSecondRun, Completion::Answered) => true,
            (Self::NoSecondRun, Completion::Refused { code, .. }) => code == "already_claimed",
            _ => false,
        }
    }

    pub(super) fn describe(&self) -> String {
        match self {
            Self::Answer(regions) => format!("an answer from region {regions:?}"),
            Self::NotRun(code) => format!("a refusal {code} that says ran: no"),
            Self::NoSecondRun => "the first answer again, or already_claimed".to_owned(),
        }
    }
}

/// One request of the quickstart.
pub(super) struct Step {
    pub(super) description: &'static str,
    pub(super) region: usize,
    pub(super) request: Request,
    pub(super) expected: Expected,
}

/// Returns all requests of the quickstart, in order.
pub(super) fn steps(workload: &Workload) -> Vec<Step> {
    let [first, two_regions, _, one_region, ..] = workload.organisations.as_slice() else {
        return Vec::new();
    };
    let all = || Expected::Answer(vec![0, 1, 2]);
    let mut steps = Vec::new();
    for region in 0..workload.regions.len() {
        let whole = chat(&first.key, "what goes with a lemon tart", 12, false);
        steps.push(step("chat, whole", region, whole, all()));
        let stream = chat(&first.key, "a plate for two with no nuts", 24, true);
        steps.push(step("chat, streamed", region, stream, all()));
        steps.push(step(
            "booking, not repeatable",
            region,
            booking(first, region),
            all(),
        ));
    }
    let again = booking(first, 0);
    let claimed = Expected::NoSecondRun;
    steps.push(step(
        "the first booking again, other region",
        1,
        again,
        claimed,
    ));

    let bad = chat("nobody.wrong", "let me in", 4, false);
    steps.push(step(
        "chat with a bad key",
        0,
        bad,
        Expected::NotRun("bad_key"),
    ));
    let small = chat(TRIAL_KEY, "all of the burst at once", 100, false);
    steps.push(step(
        "small organisation, most of its burst",
        0,
        small.clone(),
        all(),
    ));
    let over = Expected::NotRun("rate_exceeded");
    steps.push(step("small organisation, over its burst", 1, small, over));
    let huge = chat(TRIAL_KEY, "more than the whole burst", 1_000, false);
    let larger = Expected::NotRun("larger_than_burst");
    steps.push(step(
        "small organisation, more than its burst",
        2,
        huge,
        larger,
    ));

    let resident = chat(&two_regions.key, "served at home only", 12, true);
    let home = Expected::Answer(vec![0, 1]);
    steps.push(step(
        "residency in two regions, from the third",
        2,
        resident,
        home,
    ));
    let narrowed = chat(&first.key, "only there please", 12, false);
    let narrowed = with_header(narrowed, "limpetstand-residency", &workload.regions[2]);
    let third = Expected::Answer(vec![2]);
    steps.push(step(
        "residency narrowed to the third region",
        0,
        narrowed,
        third,
    ));
    let nowhere = chat(&one_region.key, "not allowed here", 12, false);
    let nowhere = with_header(nowhere, "limpetstand-residency", &workload.regions[0]);
    let none = Expected::NotRun("no_allowed_region");
    steps.push(step("residency that leaves no region", 0, nowhere, none));
    steps
}

fn step(description: &'static str, region: usize, request: Request, expected: Expected) -> Step {
    Step {
        description,
        region,
        request,
        expected,
    }
}

fn chat(key: &str, prompt: &str, tokens: usize, stream: bool) -> Request {
    Request {
        payload: Payload::Chat {
            prompt: prompt.to_owned(),
            tokens,
            stream,
        },
        route: MODEL.to_owned(),
        key: Some(key.to_owned()),
        headers: Vec::new(),
    }
}

fn booking(organisation: &Organisation, n: usize) -> Request {
    let request = Request {
        payload: Payload::Service {
            run_id: format!("booking-{n}"),
        },
        route: SERVICE_ROUTE.to_owned(),
        key: Some(organisation.key.clone()),
        headers: Vec::new(),
    };
    with_header(request, "idempotency-key", &format!("booking-{n}"))
}

fn with_header(mut request: Request, name: &'static str, value: &str) -> Request {
    request.headers.push((name, value.to_owned()));
    request
}
