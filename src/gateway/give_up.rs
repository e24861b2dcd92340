//! What becomes of a request whose answer and the end of the instance are known at the same time.

/// Waits for an answer; returns `None` if the instance gives up before.
///
/// An answer that is ready is delivered, also if both become known in one turn of the runtime, as
/// after a standstill.
pub async fn unless_given_up<T>(
    answer: impl Future<Output = T>,
    given_up: impl Future<Output = ()>,
) -> Option<T> {
    tokio::select! {
        biased;
        answer = answer => Some(answer),
        () = given_up => None,
    }
}
