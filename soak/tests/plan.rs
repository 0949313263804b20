//! Plans are drawn from their seed alone.

use soak::{Act, Plan};

#[test]
fn a_seed_gives_the_same_plan_each_time_and_another_gives_another() {
    assert_eq!(Plan::new(7, 60, 6), Plan::new(7, 60, 6));
    assert_ne!(Plan::new(7, 60, 6).steps, Plan::new(8, 60, 6).steps);
}

#[test]
fn every_plan_ends_with_a_kill_of_all_and_time_to_come_back() {
    for seed in 0..50 {
        let plan = Plan::new(seed, 60, 12);
        let last = plan.steps.last().unwrap();
        assert_eq!(last.act, Act::KillAll);
        assert!(last.at + 12_000 < plan.seconds * 1000);
    }
}

#[test]
fn plans_hold_every_kind_of_act() {
    let mut kinds: Vec<String> = Vec::new();
    for seed in 0..50 {
        for step in Plan::new(seed, 60, 6).steps {
            let act = format!("{:?}", step.act);
            let kind = act.split(' ').next().unwrap_or_default().to_string();
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
    }
    assert_eq!(kinds.len(), 20, "{kinds:?}");
}

#[test]
fn an_older_build_is_replaced_forward_and_back_and_forward_before_the_last_fault() {
    let plan = Plan::new(7, 60, 6).with_older();
    let (mut older, mut seen) = ([true; 6], Vec::new());
    for step in &plan.steps {
        if let Act::Replace { gateway, older: to } = step.act {
            assert_ne!(older[gateway], to);
            older[gateway] = to;
            seen.push(older.iter().filter(|older| **older).count());
        }
    }
    assert_eq!(seen, [5, 4, 3, 2, 1, 0, 1, 2, 3, 2, 1, 0]);
    assert_eq!(plan.steps.last().unwrap().act, Act::KillAll);
    assert!(plan
        .steps
        .iter()
        .any(|step| matches!(step.act, Act::Kill { .. })));
}
