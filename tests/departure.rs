//! Decisions of an instance that leaves.

use std::time::Duration;

use limpetstand::departure::Departure;

const DRAINED_AT: Duration = Duration::from_secs(100);

const MS: Duration = Duration::from_millis(1);

#[test]
fn requests_that_outlast_a_stop_are_taken_only_while_callers_do_not_know_of_it() {
    let now = Duration::from_secs(95);
    let (fits, too_long) = (DRAINED_AT - now, DRAINED_AT - now + MS);
    let leaving = Departure::Leaving {
        drained_at: DRAINED_AT,
    };
    let closed = Departure::Closed {
        drained_at: DRAINED_AT,
    };
    for (departure, time_left, takes, outlasts) in [
        (Departure::NotLeaving, too_long, true, true),
        (leaving, fits, true, true),
        (leaving, too_long, true, false),
        (closed, fits, true, true),
        (closed, too_long, false, false),
        (Departure::GivesUp, Duration::ZERO, false, false),
    ] {
        let taken = departure.takes(now, time_left);
        assert_eq!(taken, takes, "{departure:?}, {time_left:?}");
        let kept = departure.outlasts(now, time_left);
        assert_eq!(kept, outlasts, "{departure:?}, {time_left:?}");
    }
}
