//! Tasks that panic or end.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use briarhall_net::Executor;

/// Time in which a task is started again several times.
const ENOUGH: Duration = Duration::from_millis(700);

/// Guards against a process that ends as one of its tasks panics.
#[test]
fn a_task_that_panics_ends_nothing_else() {
    let executor = Executor::default();
    executor.detach(async { panic!("a task") });
    let other = executor.spawn(async {
        Timer::after(Duration::from_millis(20)).await;
        7
    });
    assert_eq!(executor.block_on(other), 7);
}

/// Guards against a task that the process needs, such as the one that follows the store, and
/// that is gone without a sign after one panic or an early end.
#[test]
fn a_task_that_is_needed_is_started_again() {
    let executor = Executor::default();
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    executor.keep_running("test", move || {
        let count = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(count > 0, "the first one panics");
        }
    });
    executor.block_on(Timer::after(ENOUGH));
    let starts = starts.load(Ordering::Relaxed);
    assert!((3..=8).contains(&starts), "{starts} starts in {ENOUGH:?}");
}
