//! The predicted wait of long prompts by rank.

use std::time::Instant;

use briarhall_policy::prompt_queue::PromptQueue;
use briarhall_policy::prompt_queue::QueuedPrompt;

const SERVICE: u32 = 7;

fn queued_prompt(id: u64, priority: u32) -> QueuedPrompt {
    QueuedPrompt {
        id,
        service: SERVICE,
        priority,
        slack_ms: 1_000.0,
        overdue_in_ms: 5_000.0,
        prefill_ms: 4_000.0,
    }
}

/// Load: less urgent prompts fill the queue. Guards against an urgent prompt that is
/// refused for a wait behind prompts which it goes before.
#[test]
fn urgent_prompt_does_not_wait_for_less_urgent_ones() {
    let now = Instant::now();
    let mut queue = PromptQueue::default();
    for id in 0..10 {
        queue.join(queued_prompt(id, 2), now);
    }
    let at_another = vec![queued_prompt(20, 0), queued_prompt(21, 2)];
    queue.set_peer_prompts("vm-2".into(), at_another, now);
    let ms = |priority| queue.work_before_ms(SERVICE, priority);
    assert!((ms(0) - 4_000.0).abs() < 1.0, "{}", ms(0));
    assert!((ms(1) - 4_000.0).abs() < 1.0, "{}", ms(1));
    assert!((ms(2) - 48_000.0).abs() < 1.0, "{}", ms(2));
}
