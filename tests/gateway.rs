//! Tests the gateway's decisions for general routes, without a network.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use limpetstand::config::Snapshot;
use limpetstand::gateway::dialect::{DirectoryQuery, PromptPart, TargetEntry};
use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::pool::{Demand, Pool, Prefill, TargetQuery};
use limpetstand::gateway::quota::Quota;
use limpetstand::gateway::region::{self, RegionStats};
use limpetstand::gateway::registry::{ENTRY_RECOVERY_TIME, KnownTarget, TargetRegistry};
use limpetstand::gateway::routes::{
    OrganisationPolicy, Route, RouteKind, RouteTable, Service, Unit, allows_region,
};
use limpetstand::gateway::settings::GatewaySettings;
use limpetstand::gateway::target_limits::LimitedTargets;
use limpetstand::gateway::warmup::{self, RecentSends};
use limpetstand::gateway::{
    attempt_timeout, combined_priority, directory_entries, directory_ttl, load_shedding,
};
use limpetstand::id::{OrganisationId, RegionId, TargetId};
use limpetstand::limit::{Hold, Limiter};
use limpetstand::member::{Fleet, Health, Member};
use limpetstand::refusal::{Code, Ran, Refusal, spread_retry_after};
use proptest::prelude::*;
use smol_str::SmolStr;
use tokio::sync::watch;

const SECOND: Duration = Duration::from_secs(1);

/// How fast targets read prompts.
const PREFILL: Prefill = Prefill {
    ms_per_token: 0.032,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        services: services.iter().map(|(s, w)| ((*s).into(), *w)).collect(),
        max_attempts: 2,
        timeout: SECOND,
        objective: SECOND,
        priority: 0,
        allow_anonymous: false,
        home_regions: Vec::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a.example", "/x/", &[("s", 1)]),
        route("a.example", "/x/y/", &[("s", 1)]),
        route("b.example", "/", &[("s", 1)]),
    ];
    let table = RouteTable::new(1, routes);
    let found = |host, path| {
        table
            .find(host, path)
            .map(|k| table.route(k).prefix.as_str())
    };
    assert_eq!(found("a.example", "/x/y/z"), Some("/x/y/"));
    assert_eq!(found("A.Example:8080", "/x/yz"), Some("/x/"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("b.example", "/x/"), Some("/"));
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn the_homes_of_a_host_are_the_regions_named_by_most_of_its_routes() {
    let homed = |prefix, home_regions: &[&str]| Route {
        home_regions: home_regions.iter().map(|h| (*h).into()).collect(),
        ..route("a.example", prefix, &[])
    };
    let routes = vec![
        homed("/x/", &["north", "south"]),
        homed("/y/", &["south", "west"]),
        homed("/y/y/", &["east"]),
        homed("/z/", &[]),
    ];
    let table = RouteTable::new(1, routes);
    assert_eq!(table.home_regions_of_host("a.example"), ["south".into()]);
    assert!(table.home_regions_of_host("b.example").is_empty());
}

#[test]
fn services_are_drawn_by_weight() {
    let route = route("h", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let mut counts: HashMap<SmolStr, u32> = HashMap::new();
    for i in 0..1_000 {
        let service = route.service(f64::from(i) / 1_000.0).expect("a service");
        *counts.entry(service.clone()).or_default() += 1;
    }
    assert_eq!(counts.get("a"), Some(&900));
    assert_eq!(counts.get("b"), Some(&100));
    assert_eq!(counts.get("c"), None);
}

#[test]
fn no_homes_allow_every_region() {
    let north: RegionId = "north".into();
    assert!(allows_region(&[], &north));
    assert!(allows_region(&["north".into()], &north));
    assert!(!allows_region(&["south".into()], &north));
}

#[test]
fn the_cost_is_the_prompt_tokens_plus_the_most_tokens_to_generate() {
    let policy = |unit| OrganisationPolicy {
        priority: None,
        rate: 1,
        burst: 1,
        unit,
        home_regions: Vec::new(),
    };
    let tokens = policy(Unit::Tokens { default_cost: 200 });
    assert_eq!(tokens.cost(Some((1_460, 80))), 1_540);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(policy(Unit::Requests).cost(Some((1_460, 80))), 1);
}

fn registered(service: &str, data_centre: &str, started_unix_ms: u64) -> TargetEntry {
    TargetEntry {
        service: service.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: data_centre.into(),
        software_version: "v1".into(),
        slots: 4,
        leaving: false,
        cold_for: Duration::ZERO,
        started_unix_ms,
    }
}

fn one(id: &str, entry: TargetEntry) -> BTreeMap<TargetId, TargetEntry> {
    BTreeMap::from([(id.into(), entry)])
}

#[test]
fn a_target_that_vanishes_while_the_store_is_reachable_is_removed_at_once() {
    let mut registry = TargetRegistry::default();
    registry.update(ms(0), one("t", registered("s", "a", 1)), |_| SECOND);
    registry.update(ms(5_000), BTreeMap::new(), |_| SECOND);
    assert!(registry.targets().is_empty());
}

#[test]
fn a_target_that_lapses_in_a_store_outage_is_kept_for_the_return_time() {
    let mut registry = TargetRegistry::default();
    registry.update(ms(0), one("t", registered("s", "a", 1)), |_| SECOND);
    registry.record_store_failure(ms(5_000));
    registry.update(ms(5_100), BTreeMap::new(), |_| SECOND);
    assert_eq!(registry.targets().len(), 1, "kept");
    assert!(!registry.remove_expired(ms(6_900)));
    assert!(registry.remove_expired(ms(5_100) + ENTRY_RECOVERY_TIME + ms(1)));
    assert!(registry.targets().is_empty());
}

#[test]
fn a_lapsed_target_that_returns_is_not_cold() {
    let mut registry = TargetRegistry::default();
    let entry = registered("s", "a", 1);
    registry.update(ms(0), one("t", entry.clone()), |_| SECOND);
    registry.record_store_failure(ms(5_000));
    registry.update(ms(5_100), BTreeMap::new(), |_| SECOND);
    registry.update(ms(6_000), one("t", entry), |_| SECOND);
    let known = &registry.targets()[&"t".into()];
    assert_eq!(known.missing_since, None);
    assert!(known.cold_until <= ms(6_000), "still warm");
}

#[test]
fn a_new_and_a_restarted_target_are_cold() {
    let mut registry = TargetRegistry::default();
    registry.update(ms(0), one("old", registered("s", "a", 1)), |_| SECOND * 3);
    assert!(registry.targets()[&"old".into()].cold_until.is_zero());
    registry.update(ms(1_000), one("old", registered("s", "a", 2)), |_| {
        SECOND * 3
    });
    assert_eq!(registry.targets()[&"old".into()].cold_until, ms(4_000));
    registry.update(ms(2_000), one("new", registered("s", "a", 1)), |_| {
        SECOND * 3
    });
    assert_eq!(registry.targets()[&"new".into()].cold_until, ms(5_000));
}

#[test]
fn the_end_of_an_evacuation_leaves_targets_cold() {
    let mut registry = TargetRegistry::default();
    registry.update(ms(0), one("t", registered("s", "a", 1)), |_| SECOND);
    registry.mark_cold("b", ms(9_000));
    assert!(registry.targets()[&"t".into()].cold_until.is_zero());
    registry.mark_cold("a", ms(9_000));
    assert_eq!(registry.targets()[&"t".into()].cold_until, ms(9_000));
}

proptest! {
    /// The instances' shares together never exceed the request rate of a cold target.
    #[test]
    fn shares_of_a_cold_target_do_not_exceed_its_bound(bound in 0.0..40.0_f64, count in 1..60_usize) {
        let names: Vec<String> = (0..count).map(|i| format!("instance-{i}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let sum: usize = names
            .iter()
            .map(|me| warmup::share(bound, "target", me, &names))
            .sum();
        prop_assert!(sum as f64 <= bound);
        // At least half of the rate is used.
        prop_assert!(bound < 1.0 || sum * 2 > bound as usize);
    }
}

#[test]
fn the_window_of_a_cold_target_is_longer_than_a_second() {
    let mut sent = RecentSends::default();
    assert!(sent.has_room(ms(0), 1));
    sent.record(ms(0));
    assert!(!sent.has_room(ms(1_000), 1));
    assert!(sent.has_room(ms(1_300), 1));
}

/// A limiter that refuses every request as one for an unknown organisation.
struct NoShare;

#[async_trait::async_trait]
impl Limiter for NoShare {
    async fn admit(&self, _: &OrganisationId, _: u64, _: Duration) -> Result<Hold, Refusal> {
        Err(Refusal::not_run(
            Code::BadKey,
            "there is no such organisation",
        ))
    }
}

#[tokio::test]
async fn an_organisation_whose_share_is_not_set_up_yet_is_not_told_that_its_key_is_bad() {
    let (_tx, snapshot) = watch::channel(Arc::new(Snapshot::default()));
    let quota = Quota::new(Arc::new(NoShare), snapshot);
    let policy = OrganisationPolicy {
        priority: None,
        rate: 1_000,
        burst: 1_000,
        unit: Unit::Tokens { default_cost: 1 },
        home_regions: Vec::new(),
    };
    let organisation = "o1".into();
    let charge = quota.charge(&organisation, &policy, 50, SECOND);
    let refusal = charge.await.expect_err("there is no share yet");
    assert_eq!(refusal.code(), Code::RateExceeded);
    assert!(refusal.retry_after_ms().is_some());
}

/// Makes targets `t0`, `t1`, … of the service `s` in one region.
fn view(targets: u32, cold_until: Duration) -> PlatformView {
    let mut view = PlatformView::default();
    view.region_by_data_centre
        .insert("here-a".into(), "here".into());
    for i in 0..targets {
        let known = KnownTarget {
            entry: registered("s", "here-a", 1),
            cold_until,
            missing_since: None,
        };
        view.targets.insert(format!("t{i}").into(), known);
    }
    let mut table = RouteTable::new(1, Vec::new());
    let service = Service {
        warmup: SECOND * 3,
        warmup_per_s: 2.0,
        health_path: None,
    };
    table.services.insert("s".into(), service);
    view.route_table = Some(Arc::new(table));
    view
}

fn prompt(session: u64, own: u64) -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: 1,
            tokens: 2_500,
        },
        PromptPart {
            id: session,
            tokens: 3_800,
        },
        PromptPart {
            id: own,
            tokens: 2_900,
        },
    ]
}

static SERVICE: SmolStr = SmolStr::new_static("s");

fn query<'a>(prompt: &'a [PromptPart], tried: &'a [TargetId]) -> TargetQuery<'a> {
    TargetQuery {
        demand: Demand {
            prompt,
            tried,
            ..Demand::of_service(&SERVICE)
        },
        senders: &["i0"],
        instances: &["i0"],
        warmup: (1.0, 0.0),
        owned_since: None,
        limited: LimitedTargets::Asked,
        more_urgent: 0.0,
    }
}

#[test]
fn a_prompt_that_its_target_never_read_is_no_backlog() {
    let view = view(1, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let prompt = prompt(1, 1_000);
    let mut wait_ms = |now| {
        let choice = pool.choose(now, &view, &here, &query(&prompt, &[]), || 0.5);
        let choice = choice.expect("a target");
        let tokens = pool.record_send(now, &choice, &prompt, 1);
        pool.record_unread(now, &choice.id, tokens);
        pool.record_end(&choice.id);
        choice.wait_ms
    };
    let idle_ms = wait_ms(ms(0));
    for n in 1..50 {
        assert!((wait_ms(ms(n)) - idle_ms).abs() < 1.0);
    }
}

#[test]
fn a_session_stays_at_one_target_until_that_target_has_a_backlog() {
    let view = view(4, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let mut first = None;
    for i in 0..20 {
        let prompt = prompt(77, 1_000 + i);
        let now = ms(i * 500);
        let choice = pool
            .choose(now, &view, &here, &query(&prompt, &[]), || 0.5)
            .expect("a target");
        assert_eq!(first.get_or_insert_with(|| choice.id.clone()), &choice.id);
        let unread = pool.record_send(now, &choice, &prompt, 1);
        pool.record_prefill_done(&choice.id, unread);
        pool.record_end(&choice.id);
    }
    // Many concurrent requests are spread over all targets.
    let mut used = std::collections::BTreeSet::new();
    for i in 0..20 {
        let prompt = prompt(77, 2_000 + i);
        let choice = pool
            .choose(ms(20_000), &view, &here, &query(&prompt, &[]), || 0.5)
            .expect("a target");
        pool.record_send(ms(20_000), &choice, &prompt, 1);
        used.insert(choice.id);
    }
    assert_eq!(used.len(), 4);
}

#[test]
fn concurrent_requests_do_not_exceed_the_rate_of_a_cold_target() {
    let view = view(1, SECOND * 60);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let mut chosen = 0;
    for _ in 0..5 {
        // No request is sent yet: all are still connecting.
        let choice = pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5);
        chosen += u32::from(choice.is_some());
    }
    assert_eq!(chosen, 2);
}

#[test]
fn a_target_that_returns_errors_is_avoided_but_has_no_expected_wait() {
    let view = view(2, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let bad: TargetId = "t0".into();
    let first = pool.choose(SECOND, &view, &here, &query(&[], &["t1".into()]), || 0.5);
    assert_eq!(first.map(|c| c.id), Some(bad.clone()));
    for _ in 0..20 {
        pool.record_error(&bad);
    }
    for _ in 0..10 {
        let choice = pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5);
        assert_eq!(choice.map(|c| c.id), Some("t1".into()));
    }
    let only = pool.choose(SECOND, &view, &here, &query(&[], &["t1".into()]), || 0.5);
    assert!(
        only.is_some_and(|c| c.wait_ms < 1.0),
        "a target that returns errors has no queue"
    );
}

#[test]
fn a_failing_target_is_ejected_and_used_only_if_there_is_no_other() {
    let view = view(2, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let choose = |pool: &mut Pool, now, tried: &[TargetId]| {
        pool.choose(now, &view, &here, &query(&[], tried), || 0.5)
            .map(|c| c.id)
    };
    choose(&mut pool, ms(0), &[]);
    let time = pool.eject(ms(0), &"t0".into());
    assert_eq!(time, ms(500));
    assert_eq!(choose(&mut pool, ms(100), &[]), Some("t1".into()));
    assert_eq!(
        choose(&mut pool, ms(100), &["t1".into()]),
        Some("t0".into())
    );
    assert_eq!(pool.eject(ms(600), &"t0".into()), ms(1_000));
    pool.record_success(&"t0".into());
    assert_eq!(pool.eject(ms(700), &"t0".into()), ms(500));
}

#[test]
fn one_request_at_a_time_probes_a_target_that_failed() {
    let view = view(2, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let choose = |pool: &mut Pool, now| {
        pool.choose(now, &view, &here, &query(&[], &[]), || 0.5)
            .map(|c| (c.id, c.ejected))
    };
    choose(&mut pool, ms(0));
    let time = pool.eject(ms(0), &"t1".into());
    let back = time + ms(1);
    // The other target has a long queue, so the failed target is probed at once.
    pool.record_load_report(back, &"t0".into(), 4, 40);
    assert_eq!(choose(&mut pool, back), Some(("t1".into(), false)));
    for _ in 0..5 {
        assert_eq!(choose(&mut pool, back), Some(("t0".into(), false)));
    }
    assert_eq!(
        choose(&mut pool, back + ms(301)),
        Some(("t1".into(), false))
    );
}

/// Short requests cost a full target little and must not be refused before the long ones.
#[test]
fn a_stream_that_is_taken_up_waits_longer_but_not_past_half_of_its_time() {
    let wait = load_shedding::max_wait_of_taken_up;
    assert_eq!(wait(ms(400), ms(10_000)), ms(1_500));
    assert_eq!(wait(ms(400), ms(1_000)), ms(500));
    assert_eq!(wait(ms(400), ms(100)), ms(400));
    assert_eq!(wait(ms(2_000), ms(10_000)), ms(2_000));
}

#[test]
fn at_a_full_target_routes_with_long_prompts_are_refused_first() {
    let long = load_shedding::max_wait(ms(1_200), 5, ms(211));
    let short = load_shedding::max_wait(ms(800), 5, ms(20));
    assert!(long < short, "{long:?} {short:?}");
    // However long its prompts, a route may wait for a part of its objective.
    let longest = load_shedding::max_wait(ms(1_000), 5, ms(5_000));
    assert!(longest > ms(200), "{longest:?}");
    let mut typical = load_shedding::TypicalPrefill::default();
    assert_eq!(typical.of(&"r".into()), Duration::ZERO);
    for _ in 0..200 {
        typical.record(&"r".into(), ms(100));
        typical.record(&"r".into(), ms(300));
    }
    let average = typical.of(&"r".into());
    assert!((ms(190)..ms(210)).contains(&average), "{average:?}");
}

/// A target whose slots are all in use serves one queued request after the other, so the wait there
/// grows with the queue, and another target is chosen before the queue is long.
#[test]
fn the_wait_at_a_full_target_grows_with_its_queue() {
    let view = view(1, Duration::ZERO);
    let here = "here".into();
    let slots = view.targets[&"t0".into()].entry.slots;
    let mut pool = Pool::new(PREFILL);
    let mut waits = Vec::new();
    for _ in 0..slots * 2 {
        let choice = pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5);
        let choice = choice.expect("a target");
        pool.record_send(SECOND, &choice, &[], 1);
        waits.push(choice.wait_ms);
    }
    let slots = slots as usize;
    assert!(waits[slots - 1] < 100.0, "{waits:?}");
    assert!(waits[slots] > 100.0, "{waits:?}");
    assert!(waits[slots + 3] > waits[slots] * 3.0, "{waits:?}");
}

#[test]
fn evacuated_and_leaving_targets_get_no_requests() {
    let mut view = view(2, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    if let Some(known) = view.targets.get_mut(&"t0".into()) {
        known.entry.leaving = true;
    }
    for _ in 0..5 {
        let choice = pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5);
        assert_eq!(choice.map(|c| c.id), Some("t1".into()));
    }
    view.evacuated_data_centres.insert("here-a".into());
    assert!(
        pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5)
            .is_none()
    );
}

/// Sends twice the load that the targets can prefill, as after the loss of a region. Guards against
/// admitting requests that wait longer than their objective, and against refusing so many requests
/// that the targets are idle.
#[test]
fn under_twice_the_load_admitted_requests_do_not_wait_long() {
    let view = view(4, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    let objective = SECOND;
    let longest = load_shedding::max_wait(objective, 1, Duration::ZERO);
    // Each target prefills 40 tokens per millisecond.
    let mut free_at: HashMap<TargetId, f64> = HashMap::new();
    let (mut admitted, mut worst, mut read_ms) = (0, 0.0_f64, 0.0);
    let per_request_ms = 2_900.0 / 40.0;
    let gap_ms = per_request_ms / 4.0 / 2.0;
    let requests = 2_000_u32;
    for i in 0..requests {
        let now_ms = f64::from(i) * gap_ms;
        let now = Duration::from_secs_f64(now_ms / 1_000.0);
        let prompt = prompt(u64::from(i % 40) + 10, u64::from(i) + 10_000);
        let choice = pool
            .choose(now, &view, &here, &query(&prompt, &[]), || 0.5)
            .expect("a target");
        if choice.wait_ms > longest.as_secs_f64() * 1_000.0 {
            continue;
        }
        admitted += 1;
        let unread = pool.record_send(now, &choice, &prompt, 1);
        let free = free_at.entry(choice.id.clone()).or_default();
        let starts = free.max(now_ms);
        worst = worst.max(starts - now_ms);
        *free = starts + per_request_ms;
        read_ms += per_request_ms;
        // The pool learns at once that the prefill is done, so only the pool's own backlog model
        // limits admission.
        pool.record_prefill_done(&choice.id, unread);
        pool.record_end(&choice.id);
    }
    let span_ms = f64::from(requests) * gap_ms;
    let busy = read_ms / (4.0 * span_ms);
    assert!(admitted < requests, "no request was refused");
    assert!(worst <= 1_000.0, "waited {worst} ms");
    assert!(busy >= 0.6, "the targets were busy {busy} of the time");
}

#[test]
fn retry_after_grows_with_the_queue_and_is_spread() {
    let longest = ms(800);
    let short = load_shedding::retry_after(ms(900), longest);
    let long = load_shedding::retry_after(ms(1_700), longest);
    assert!(short < long);
    assert!(load_shedding::retry_after(SECOND * 60, longest) <= ms(1_600));
    assert!(
        load_shedding::max_wait(SECOND, 0, Duration::ZERO)
            > load_shedding::max_wait(SECOND, 1, Duration::ZERO)
    );
    assert_eq!(spread_retry_after(SECOND, 0.0), SECOND);
    assert_eq!(spread_retry_after(SECOND, 1.0), ms(1_500));
}

#[test]
fn the_priority_of_an_organisation_takes_precedence_over_the_routes() {
    assert_eq!(combined_priority(None, 2), 2);
    assert!(combined_priority(Some(0), 2) < combined_priority(Some(1), 0));
    assert!(combined_priority(Some(1), 0) < combined_priority(Some(1), 1));
    assert!(combined_priority(Some(200), 200) <= 9);
}

#[test]
fn a_target_may_report_any_load() {
    let view = view(1, Duration::ZERO);
    let here = "here".into();
    let mut pool = Pool::new(PREFILL);
    for (running, waiting) in [(u32::MAX, 0), (0, u32::MAX), (u32::MAX, u32::MAX)] {
        let choice = pool.choose(SECOND, &view, &here, &query(&[], &[]), || 0.5);
        let id = choice.expect("a target").id;
        pool.record_load_report(SECOND, &id, running, waiting);
    }
}

/// While a target reads a long prompt, the streams that run there stand still. So such a prompt leaves
/// a region whose targets are full of streams for one with room, and a short one stays.
#[test]
fn a_long_prompt_leaves_a_region_full_of_streams_and_a_short_one_stays() {
    let mut view = view(1, Duration::ZERO);
    for known in view.targets.values_mut() {
        known.entry.slots = 64;
    }
    let here: RegionId = "here".into();
    let mut pool = Pool::new(PREFILL);
    let mut now = SECOND;
    let mut costs = |tokens| {
        now += SECOND;
        let prompt = [PromptPart { id: 7, tokens }];
        let quote = pool.evaluate(now, &view, &here, &query(&prompt, &[]), || 0.5);
        let quote = quote.expect("a target");
        let mut stats = regions(
            &[("here", 1), ("near", 1)],
            &[("here", quote.wait_ms), ("near", 0.0)],
        );
        stats.added_cost_ms.insert(here.clone(), quote.added_ms);
        let all = [here.clone(), "near".into()];
        let chosen = region::choose(&here, &all, &[], &stats, 0.5).expect("a region");
        let unread = pool.record_send(now, &quote, &prompt, 1);
        pool.record_prefill_done(&quote.id, unread);
        chosen
    };
    assert_eq!(costs(3_000), here, "no streams run");
    for _ in 0..50 {
        costs(0);
    }
    assert_eq!(costs(3_000), "near".into());
    assert_eq!(costs(100), here);
}

#[test]
fn a_status_implies_not_run_only_if_the_request_has_not_run() {
    let refused = |code| Refusal::not_run(code, "").status_by_ran();
    let unknown = |code| Refusal::unknown(code, "").status_by_ran();
    assert_eq!(refused(Code::Quarantined), 503);
    assert_eq!(unknown(Code::Quarantined), 502);
    for code in [
        Code::NoTarget,
        Code::Overloaded,
        Code::DeadlineExceeded,
        Code::TargetFailed,
    ] {
        assert_eq!(refused(code), 503);
        assert!(matches!(unknown(code), 502 | 504));
    }
    assert_eq!(refused(Code::RateExceeded), 429);
    assert_eq!(refused(Code::BadKey), 401);
    assert_eq!(refused(Code::NoSuchRoute), 404);
    assert_eq!(refused(Code::NotReady), 503);
}

/// The product's interface tells in a header whether a request has run, so its statuses follow from
/// the code. General routes have no such header.
#[test]
fn the_statuses_of_both_interfaces_differ_in_six_cases() {
    let codes = [
        Code::BadRequest,
        Code::TooLarge,
        Code::BadKey,
        Code::Forbidden,
        Code::NoSuchRoute,
        Code::NoAllowedRegion,
        Code::RateExceeded,
        Code::LargerThanBurst,
        Code::Overloaded,
        Code::NoTarget,
        Code::DeadlineExceeded,
        Code::Loop,
        Code::Quarantined,
        Code::ClaimUnavailable,
        Code::AlreadyClaimed,
        Code::TargetFailed,
        Code::Leaving,
        Code::NotReady,
    ];
    let mut different = Vec::new();
    for code in codes {
        for refusal in [Refusal::not_run(code, ""), Refusal::unknown(code, "")] {
            if refusal.status_by_ran() != code.status() {
                different.push((code, refusal.ran(), code.status(), refusal.status_by_ran()));
            }
        }
    }
    assert_eq!(
        different,
        [
            (Code::Overloaded, Ran::Unknown, 503, 502),
            (Code::NoTarget, Ran::Unknown, 503, 502),
            (Code::DeadlineExceeded, Ran::No, 504, 503),
            (Code::Quarantined, Ran::No, 422, 503),
            (Code::Quarantined, Ran::Unknown, 422, 502),
            (Code::TargetFailed, Ran::No, 502, 503),
        ]
    );
}

#[test]
fn only_repeatable_requests_time_out_before_their_deadline() {
    let left = SECOND * 5;
    for kind in [RouteKind::Once, RouteKind::Stream] {
        assert_eq!(attempt_timeout::for_head(kind, SECOND, left, 3), left);
        assert_eq!(attempt_timeout::for_bytes(kind, 3), None);
    }
    assert!(attempt_timeout::for_head(RouteKind::Idempotent, SECOND, left, 1) < SECOND);
    assert_eq!(
        attempt_timeout::for_head(RouteKind::Idempotent, SECOND, left, 0),
        left
    );
    assert!(attempt_timeout::for_bytes(RouteKind::ResumableStream, 1) < Some(SECOND * 2));
    assert_eq!(
        attempt_timeout::for_bytes(RouteKind::ResumableStream, 0),
        None
    );
}

fn regions(capacity: &[(&str, u32)], waits: &[(&str, f64)]) -> RegionStats {
    RegionStats {
        capacity: capacity.iter().map(|(r, n)| ((*r).into(), *n)).collect(),
        wait_ms: waits.iter().map(|(r, w)| ((*r).into(), *w)).collect(),
        added_cost_ms: HashMap::new(),
        own_targets_ejected: false,
        max_wait_ms: None,
        round_trip_ms: 160.0,
    }
}

/// A region at its peak refuses what no other region has room for; asking there would make the
/// refusal late and take up the link between the regions.
#[test]
fn a_refused_request_does_not_go_to_regions_without_room() {
    let here: RegionId = "here".into();
    let all: Vec<RegionId> = vec!["here".into(), "near".into(), "far".into()];
    let capacity = [("here", 3), ("near", 3), ("far", 3)];
    let choose = |waits: &[(&str, f64)], tried: &[RegionId]| {
        let mut stats = regions(&capacity, waits);
        stats.max_wait_ms = Some(700.0);
        region::choose(&here, &all, tried, &stats, 0.5)
    };
    let refused_here: [RegionId; 1] = ["here".into()];
    let full = [("near", 800.0), ("far", 2_000.0)];
    assert_eq!(choose(&full, &refused_here), None);
    let room = [("near", 800.0), ("far", 500.0)];
    assert_eq!(choose(&room, &refused_here), Some("far".into()));
    // One region that nothing is known of is tried, and no second one.
    assert!(choose(&[("here", 900.0)], &refused_here).is_some());
    let refused_twice = ["here".into(), "near".into()];
    assert_eq!(choose(&[("here", 900.0)], &refused_twice), None);
    assert_eq!(choose(&room, &refused_twice), Some("far".into()));
}

#[test]
fn a_request_leaves_its_region_only_if_another_region_is_faster() {
    let here: RegionId = "here".into();
    let all: Vec<RegionId> = vec!["here".into(), "near".into(), "far".into()];
    let both = [("here", 3), ("near", 3)];
    let choose = |stats: &RegionStats, allowed: &[RegionId], tried: &[RegionId]| {
        region::choose(&here, allowed, tried, stats, 0.5)
    };
    assert_eq!(
        choose(&regions(&both, &[("here", 50.0)]), &all, &[]),
        Some("here".into())
    );
    let known = regions(&both, &[("here", 900.0), ("near", 20.0)]);
    assert_eq!(choose(&known, &all, &[]), Some("near".into()));
    let unknown = regions(&both, &[("here", 900.0)]);
    assert_eq!(choose(&unknown, &all, &[]), Some("here".into()));
    let worse = regions(&both, &[("here", 900.0), ("near", 800.0)]);
    assert_eq!(choose(&worse, &all, &[]), Some("here".into()));
    let mut distant = known.clone();
    distant.round_trip_ms = 800.0;
    assert_eq!(choose(&distant, &all, &[]), Some("here".into()));
    assert_eq!(choose(&known, &["here".into()], &[]), Some("here".into()));
    assert_eq!(
        choose(&regions(&[("near", 1)], &[]), &all, &[]),
        Some("near".into())
    );
    assert_eq!(choose(&known, &all, &["here".into()]), Some("near".into()));
    assert_eq!(choose(&known, &["far".into()], &[]), None);
    let mut failing = regions(&both, &[("here", 0.0)]);
    failing.own_targets_ejected = true;
    assert_eq!(choose(&failing, &all, &[]), Some("near".into()));
    assert_eq!(choose(&failing, &["here".into()], &[]), Some("here".into()));
}

fn member(id: &str, data_centre: &str, region: &str, health: Health) -> Member {
    let port = id.bytes().fold(0, |port, b| port * 10 + u16::from(b));
    Member {
        id: id.into(),
        incarnation: 1,
        front: SocketAddr::from(([127, 0, 0, 1], port)),
        peer: SocketAddr::from(([127, 0, 0, 2], port)),
        region: region.into(),
        data_centre: data_centre.into(),
        health,
    }
}

#[test]
fn the_directory_lists_live_instances_nearby() {
    let fleet = Fleet {
        members: vec![
            member("a1", "a", "north", Health::Live),
            member("a2", "a", "north", Health::Live),
            member("a3", "a", "north", Health::Leaving),
            member("b1", "b", "north", Health::Live),
            member("c1", "c", "south", Health::Live),
            member("c2", "c", "south", Health::Dead),
        ],
        targets: Vec::new(),
    };
    let asked = |data_centre: &str, region: &str| DirectoryQuery {
        host: "a.example".into(),
        region: region.into(),
        data_centre: data_centre.into(),
    };
    let front = |i: usize| fleet.members[i].front;
    assert_eq!(
        directory_entries(&fleet, &asked("a", "north"), &[]),
        [front(0), front(1)]
    );
    assert_eq!(
        directory_entries(&fleet, &asked("b", "north"), &[]),
        [front(3), front(0), front(1)]
    );
    assert_eq!(
        directory_entries(&fleet, &asked("c", "south"), &[]),
        [front(4)]
    );
    assert_eq!(directory_entries(&fleet, &asked("d", "west"), &[]).len(), 4);
    // Instances of another region stand in for a short time only.
    let ttl = |query: &DirectoryQuery| {
        let entries = directory_entries(&fleet, query, &[]);
        directory_ttl(&fleet, query, &entries, SECOND * 2)
    };
    assert_eq!(ttl(&asked("a", "north")), SECOND * 2);
    assert!(ttl(&asked("d", "west")) < SECOND);
    // Clients of a region without live instances get instances of the host's home regions.
    let home_regions = ["south".into(), "west".into()];
    assert_eq!(
        directory_entries(&fleet, &asked("d", "west"), &home_regions),
        [front(4)]
    );
    assert_eq!(
        directory_entries(&fleet, &asked("a", "north"), &home_regions),
        [front(0), front(1)]
    );
    assert_eq!(
        directory_entries(&fleet, &asked("d", "west"), &["east".into()]).len(),
        4
    );
}

/// Returns the settings of the section `[gateway]` with one more line.
fn gateway_settings(line: &str) -> Option<GatewaySettings> {
    let text = format!(
        "platform = \"none\"\nready = \"127.0.0.1:1\"\ndirectory = \"127.0.0.1:2\"\n{line}\n\
         [data_centres]\na = \"here\"\n"
    );
    toml::from_str(&text).ok()
}

#[test]
fn settings_of_the_deployment_have_defaults() {
    let defaults = gateway_settings("").expect("valid");
    assert_eq!(defaults.entry_lapse_ms, 6_000);
    assert_eq!(defaults.stream_memory_ms, 30_000);
    assert!((defaults.region_round_trip_ms - 160.0).abs() < 1e-9);
    assert!((defaults.prefill_ms_per_token - 0.032).abs() < 1e-9);
    let set = gateway_settings("entry_lapse_ms = 9000").expect("valid");
    assert_eq!(set.entry_lapse_ms, 9_000);
}

#[test]
fn the_wait_at_a_target_depends_on_how_fast_it_reads() {
    let view = view(1, Duration::ZERO);
    let here: RegionId = "here".into();
    let prompt = [PromptPart {
        id: 1,
        tokens: 1_000,
    }];
    for (ms_per_token, wait_ms) in [(0.032, 32.0), (0.5, 500.0)] {
        let mut pool = Pool::new(Prefill { ms_per_token });
        let choice = pool.choose(SECOND, &view, &here, &query(&prompt, &[]), || 0.0);
        let choice = choice.expect("a target");
        pool.record_send(SECOND, &choice, &prompt, 1);
        let next = pool.evaluate(SECOND, &view, &here, &query(&prompt, &[]), || 0.0);
        let grown = next.expect("a target").wait_ms - choice.wait_ms;
        assert!((wait_ms..wait_ms + 31.0).contains(&grown), "{grown}");
    }
}
