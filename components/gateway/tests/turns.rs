//! Turns of tasks that serve a channel.

use std::cell::Cell;
use std::rc::Rc;

use gateway::{Turn, MAX_TURN_STEPS};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const STEPS: u32 = 10_000;

// A task that emptied its channel before it let others run kept the thread from its callers for more than a second.
#[test]
fn a_task_with_many_steps_to_do_lets_others_run_in_between() {
    let runtime = Builder::new_current_thread().build().unwrap();
    let steps = Rc::new(Cell::new(0));
    let other_steps = Rc::clone(&steps);
    let local = LocalSet::new();
    local.spawn_local(async move {
        let mut turn = Turn::default();
        for _ in 0..STEPS {
            steps.set(steps.get() + 1);
            turn.step().await;
        }
    });
    let longest = local.block_on(&runtime, async move {
        let (mut seen, mut longest) = (0, 0);
        while seen < STEPS {
            tokio::task::yield_now().await;
            longest = longest.max(other_steps.get() - seen);
            seen = other_steps.get();
        }
        longest
    });
    assert!(longest <= MAX_TURN_STEPS, "{longest} steps in a turn");
}
