//! Tests of the burn report: windows, burn rates, wrongful refusals, and counts added up over
//! instances.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetstand::config::{Document, Objective, ObjectiveKind, Revision, Snapshot};
use limpetstand::id::RouteId;
use limpetstand::peer::{decode, encode};
use limpetstand::refusal::Code;
use limpetstand::report::wire::WireSeries;
use limpetstand::report::{Alert, Counts, Event, Outcome, Recorder, Series, Window, burn_line};
use proptest::prelude::*;
use smol_str::SmolStr;

fn objective(kind: ObjectiveKind) -> Objective {
    Objective {
        kind,
        target: 0.99,
        threshold_ms: Some(500),
        organisation: None,
        route: None,
    }
}

fn counts(total: u64, bad: u64) -> Counts {
    Counts {
        total,
        bad,
        ..Counts::default()
    }
}

#[test]
fn burn_is_the_missed_share_over_the_allowed_share() {
    let mut series = Series::default();
    series.add(1000, counts(100, 20));
    series.add(900, counts(100, 0));
    let line = burn_line("o", &objective(ObjectiveKind::Latency), None, &series, 1001);
    assert!((line.burn_5m - 20.0).abs() < 1e-9);
    assert!((line.burn_1h - 20.0).abs() < 1e-9);
    assert!((line.burn_6h - 10.0).abs() < 1e-9);
    assert!((line.budget_left + 9.0).abs() < 1e-9);
    assert_eq!((line.total, line.bad, line.alert), (200, 20, Alert::Fast));
}

#[test]
fn an_old_burst_of_misses_raises_only_a_slow_alert() {
    let mut series = Series::default();
    series.add(700, counts(100, 20));
    series.add(1000, counts(100, 0));
    let line = burn_line("o", &objective(ObjectiveKind::Latency), None, &series, 1000);
    assert_eq!(line.alert, Alert::Slow);
    assert!(line.burn_5m.abs() < 1e-9);
}

#[test]
fn refusals_for_the_rate_are_wrongful_only_below_the_rate() {
    let objective = objective(ObjectiveKind::WrongfulRefusals);
    let refused = Counts {
        total: 10,
        rate_refused: 10,
        ..Counts::default()
    };
    let mut below = Series::default();
    below.add(
        1000,
        Counts {
            tokens: 599,
            ..refused
        },
    );
    let burn = burn_line("o", &objective, Some(10), &below, 1000).burn_5m;
    assert!((burn - 100.0).abs() < 1e-9, "{burn}");
    let mut above = Series::default();
    above.add(
        1000,
        Counts {
            tokens: 600,
            ..refused
        },
    );
    let burn = burn_line("o", &objective, Some(10), &above, 1000).burn_5m;
    assert!((burn - 0.0).abs() < 1e-9, "{burn}");
}

#[test]
fn refusals_caused_by_the_caller_do_not_count_against_availability() {
    let route = RouteId::from("chat");
    let event = |outcome| Event {
        organisation: None,
        route: &route,
        outcome,
    };
    let availability = objective(ObjectiveKind::Availability);
    for code in [
        Code::BadRequest,
        Code::BadKey,
        Code::LargerThanBurst,
        Code::RateExceeded,
    ] {
        assert_eq!(event(Outcome::Refused(code)).counts(&availability).total, 0);
    }
    for code in [Code::Overloaded, Code::TargetFailed, Code::NoTarget] {
        assert_eq!(event(Outcome::Refused(code)).counts(&availability).bad, 1);
    }
}

#[test]
fn a_recorder_takes_new_objectives_and_keeps_counts_of_unchanged_ones() {
    let text = |threshold| {
        format!(
            "[objectives.fast]\nkind = \"latency\"\ntarget = 0.99\nthreshold_ms = {threshold}\n\
             [objectives.up]\nkind = \"availability\"\ntarget = 0.999\n"
        )
    };
    let snapshot = |threshold, revision| Snapshot {
        revision: Revision(revision),
        merged: toml::from_str::<Document>(&text(threshold)).expect("document"),
    };
    let recorder = Recorder::default();
    recorder.set_objectives(&snapshot(500, 1));
    let route = RouteId::from("chat");
    let outcome = Outcome::Answered {
        first_token: Duration::from_millis(501),
        tokens: 3,
    };
    recorder.record(
        1000,
        &Event {
            organisation: None,
            route: &route,
            outcome,
        },
    );
    recorder.set_objectives(&snapshot(400, 2));
    let series = recorder.series();
    assert_eq!(series["fast"].sum(1000, Window::OneHour), Counts::default());
    let kept = series["up"].sum(1000, Window::OneHour);
    assert_eq!((kept.total, kept.bad, kept.tokens), (1, 0, 3));
}

/// Sums the additions in a window directly, as a reference for [`Series`].
fn naive(additions: &[(u64, u64)], now: u64, window: Window) -> u64 {
    let newest = additions
        .iter()
        .map(|(minute, _)| *minute)
        .max()
        .unwrap_or(0);
    let by_minute = window.minutes() <= 60;
    let mut sum = 0;
    for (minute, total) in additions {
        let (step, last, length, newest, kept) = match by_minute {
            true => (*minute, now, window.minutes(), newest, 60),
            false => (
                minute / 60,
                now / 60,
                window.minutes() / 60,
                newest / 60,
                72,
            ),
        };
        if step > last || step + length <= last || step + kept <= newest {
            continue;
        }
        sum += total;
    }
    sum
}

proptest! {
    #[test]
    fn windows_agree_with_a_naive_sum(
        additions in proptest::collection::vec((0_u64..9000, 1_u64..5), 0..60),
        late in 0_u64..200,
    ) {
        let mut series = Series::default();
        for (minute, total) in &additions {
            series.add(*minute, counts(*total, 0));
        }
        let now = additions.iter().map(|(minute, _)| *minute).max().unwrap_or(0) + late;
        for window in [Window::FiveMinutes, Window::OneHour, Window::SixHours, Window::ThreeDays] {
            prop_assert_eq!(series.sum(now, window).total, naive(&additions, now, window));
        }
    }

    #[test]
    fn counts_of_instances_add_up_over_the_wire_in_any_order(
        parts in proptest::collection::vec(proptest::collection::vec((8000_u64..9000, 1_u64..5), 0..20), 1..5),
    ) {
        let mut one = Series::default();
        let mut merged = Series::default();
        for part in &parts {
            let mut series = Series::default();
            for (minute, total) in part {
                series.add(*minute, counts(*total, 0));
            }
            let all = BTreeMap::from([(SmolStr::new("o"), series)]);
            let bytes = encode(&WireSeries::from(&all)).expect("encoded");
            let back = BTreeMap::try_from(decode::<WireSeries>(&bytes).expect("decoded"));
            merged.merge(&back.expect("series")["o"]);
            for (minute, total) in part {
                one.add(*minute, counts(*total, 0));
            }
        }
        for window in [Window::FiveMinutes, Window::OneHour, Window::SixHours, Window::ThreeDays] {
            prop_assert_eq!(merged.sum(9000, window), one.sum(9000, window));
        }
    }
}
