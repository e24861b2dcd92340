//! Tests of the checks of API keys.

use std::time::Duration;

use limpetstand::config::{Key, Organisation, Snapshot};
use limpetstand::id::{KeyId, OrganisationId};
use limpetstand::key::{BearerToken, KeyError, KeyIdentity, check_key, recheck_key};
use limpetstand::refusal::{Code, Ran, Refusal};

/// SHA-256 of `planner.s3cret`.
const PLANNER_HASH: &str = "1b28e649149bd1f6aa8e707e5d7d40da484ba0bf4bc4cc8e9640df9a2d63b0fc";

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    let organisation = Organisation {
        rate: 100,
        burst: 200,
        weight: 1.0,
        regions: None,
        max_config_age_s: Some(10),
    };
    snapshot
        .merged
        .organisations
        .insert("bakeries".into(), organisation);
    let key = Key {
        organisation: "bakeries".into(),
        hash: PLANNER_HASH.into(),
    };
    snapshot.merged.keys.insert("planner".into(), key);
    snapshot
}

fn check_now(snapshot: &Snapshot, token: &str) -> Result<KeyIdentity, KeyError> {
    check_key(snapshot, Duration::ZERO, &BearerToken::from(token))
}

#[test]
fn a_valid_key_returns_its_organisation() {
    let identity = check_now(&snapshot(), "planner.s3cret").expect("present");
    assert_eq!(identity.organisation.as_str(), "bakeries");
    assert_eq!(identity.key.as_str(), "planner");
}

#[test]
fn wrong_unknown_and_malformed_keys_are_refused() {
    let snapshot = snapshot();
    for token in ["planner.s3cres", "planner.s3cret ", "other.s3cret"] {
        assert_eq!(
            check_now(&snapshot, token),
            Err(KeyError::Unknown),
            "{token}"
        );
    }
    for token in ["", "planner", ".s3cret", "planner.", PLANNER_HASH] {
        assert_eq!(
            check_now(&snapshot, token),
            Err(KeyError::Malformed),
            "{token}"
        );
    }
    let hash_as_secret = format!("planner.{PLANNER_HASH}");
    assert_eq!(
        check_now(&snapshot, &hash_as_secret),
        Err(KeyError::Unknown)
    );
}

#[test]
fn a_withdrawn_key_is_refused_also_for_queued_requests() {
    let mut snapshot = snapshot();
    let organisation = OrganisationId::from("bakeries");
    let key = KeyId::from("planner");
    let recheck = |s: &Snapshot| recheck_key(s, Duration::ZERO, &organisation, &key);
    assert_eq!(recheck(&snapshot), Ok(()));
    snapshot.merged.keys.clear();
    assert_eq!(recheck(&snapshot), Err(KeyError::Unknown));
    assert_eq!(
        check_now(&snapshot, "planner.s3cret"),
        Err(KeyError::Unknown)
    );
}

#[test]
fn a_key_given_to_another_organisation_is_refused_for_the_first() {
    let mut snapshot = snapshot();
    let key = snapshot
        .merged
        .keys
        .get_mut(&KeyId::from("planner"))
        .expect("present");
    key.organisation = "survey".into();
    let recheck = recheck_key(
        &snapshot,
        Duration::ZERO,
        &"bakeries".into(),
        &"planner".into(),
    );
    assert_eq!(recheck, Err(KeyError::Unknown));
}

#[test]
fn a_key_of_a_deleted_organisation_is_refused() {
    let mut snapshot = snapshot();
    snapshot.merged.organisations.clear();
    assert_eq!(
        check_now(&snapshot, "planner.s3cret"),
        Err(KeyError::Unknown)
    );
}

#[test]
fn the_configuration_age_limit_of_the_organisation_is_enforced() {
    let snapshot = snapshot();
    let bearer = BearerToken::from("planner.s3cret");
    let check_at_age = |s| check_key(&snapshot, Duration::from_secs(s), &bearer);
    assert!(check_at_age(10).is_ok());
    assert_eq!(check_at_age(11), Err(KeyError::ConfigTooOld));
    let refusal = Refusal::from(KeyError::ConfigTooOld);
    assert_eq!((refusal.code(), refusal.ran()), (Code::NotReady, Ran::No));
}

#[test]
fn headers_are_parsed_and_secrets_are_hidden() {
    let bearer = BearerToken::from_header("bearer planner.s3cret").expect("present");
    assert!(check_key(&snapshot(), Duration::ZERO, &bearer).is_ok());
    assert!(BearerToken::from_header("Basic planner.s3cret").is_none());
    assert!(!format!("{bearer:?}").contains("s3cret"));
    let e = check_now(&snapshot(), "planner.hidden").unwrap_err();
    assert!(!format!("{e} {e:?} {:?}", Refusal::from(e)).contains("hidden"));
}
