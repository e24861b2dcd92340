//! Which answer belongs to a request.

use limpetstand::target::answer_match::{MissingId, belongs};

#[test]
fn only_an_answer_with_the_id_of_the_request_belongs_to_it() {
    for missing in [MissingId::Accept, MissingId::Reject] {
        assert!(belongs(b"a", Some(b"a"), missing));
        assert!(!belongs(b"a", Some(b"b"), missing));
        assert!(!belongs(b"a", Some(b""), missing));
    }
    assert!(belongs(b"a", None, MissingId::Accept));
    assert!(!belongs(b"a", None, MissingId::Reject));
}

/// Guards against the refusal of another request that is taken for that of this one.
#[test]
fn a_refusal_without_an_id_counts_only_on_a_connection_that_carried_no_other_request() {
    let of_refusal = |reused| MissingId::of_answer(true, false, reused);
    assert_eq!(of_refusal(false), MissingId::Accept);
    assert_eq!(of_refusal(true), MissingId::Reject);
    for reused in [false, true] {
        let of_success = MissingId::of_answer(false, true, reused);
        assert_eq!(of_success, MissingId::Reject);
    }
}
