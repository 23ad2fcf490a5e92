//! A time limit around a future.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use thiserror::Error;

/// The time limit ran out before the future was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the time limit ran out")]
pub struct Elapsed;

/// Waits for `fut`, but no longer than `limit`.
///
/// # Errors
///
/// Returns [`Elapsed`] when the limit runs out; `fut` is then dropped.
pub async fn timeout<F>(limit: Duration, fut: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let done = async { Ok(fut.await) };
    let elapsed = async {
        Timer::after(limit).await;
        Err(Elapsed)
    };
    future::or(done, elapsed).await
}
