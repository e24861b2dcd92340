//! Which answer of another target can go on with a stream that broke off.

use http::{HeaderMap, HeaderValue, StatusCode};
use limpetstand::target::{NotContinued, StreamHead, may_follow};

const EVENTS: &str = "text/event-stream";

fn head(status: u16, headers: &[(&'static str, &'static str)]) -> StreamHead {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    StreamHead::with_headers(status, &map)
}

#[test]
fn only_a_body_of_the_kind_that_has_begun_goes_on_with_a_stream() {
    let begun = head(200, &[("content-type", "text/event-stream; charset=utf-8")]);
    let events = ("content-type", EVENTS);
    let status = |status| NotContinued::Status(StatusCode::from_u16(status).expect("a status"));
    let media = |media: &str| NotContinued::MediaType(media.to_owned());
    let cases = [
        (head(200, &[events]), Ok(())),
        (head(200, &[("content-type", "Text/Event-Stream")]), Ok(())),
        (head(200, &[events, ("content-length", "9")]), Ok(())),
        (head(204, &[]), Err(status(204))),
        (head(206, &[events]), Err(status(206))),
        (head(503, &[events]), Err(status(503))),
        (head(200, &[]), Err(media(""))),
        (
            head(200, &[("content-type", "text/html")]),
            Err(media("text/html")),
        ),
        (
            head(200, &[events, ("content-encoding", "gzip")]),
            Err(NotContinued::Coding("gzip".to_owned())),
        ),
        (
            head(200, &[events, ("content-length", "0")]),
            Err(NotContinued::NoBody),
        ),
    ];
    for (next, expected) in cases {
        assert_eq!(begun.check_next(&next), expected, "{next:?}");
    }
}

#[test]
fn a_stream_without_a_media_type_goes_on_only_without_one() {
    let begun = head(200, &[]);
    assert_eq!(begun.check_next(&head(200, &[])), Ok(()));
    let next = head(200, &[("content-type", EVENTS)]);
    let expected = Err(NotContinued::MediaType(EVENTS.to_owned()));
    assert_eq!(begun.check_next(&next), expected);
}

#[test]
fn an_event_follows_only_one_of_an_earlier_id() {
    for (last, next, follows) in [
        ("9", "10", true),
        ("10", "9", false),
        ("10", "10", false),
        ("10", "010", false),
        ("a", "b", true),
        ("a", "a", false),
        ("10", "a", true),
    ] {
        assert_eq!(may_follow(last, next), follows, "{last}, {next}");
    }
}
