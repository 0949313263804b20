//! Rate limits that several gateways enforce together.

use std::time::Duration;

use limits::{RateLimit, SharedQuota};

const LIMIT: RateLimit = RateLimit {
    rate: 1000.0,
    burst: 1000.0,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Units that the gateways admit in 20 s; with `reports`, they exchange their totals every 100 ms.
fn admitted(gateways: usize, reports: bool, part: f64) -> u64 {
    let mut quotas: Vec<SharedQuota> = (0..gateways)
        .map(|_| SharedQuota::new(Duration::ZERO, LIMIT))
        .collect();
    quotas
        .iter_mut()
        .for_each(|q| q.set_part(Duration::ZERO, part));
    for now in 0..20_000 {
        for quota in &mut quotas {
            let _ = quota.take(ms(now), 10, true);
        }
        if reports && now % 100 == 0 {
            let totals: Vec<u64> = quotas.iter().map(SharedQuota::taken).collect();
            for (i, quota) in quotas.iter_mut().enumerate() {
                for (j, total) in totals.iter().enumerate().filter(|(j, _)| *j != i) {
                    quota.receive(ms(now), &j.to_string(), 1, *total, true);
                }
            }
        }
    }
    quotas.iter().map(SharedQuota::taken).sum()
}

#[test]
fn gateways_that_exchange_reports_enforce_the_limit_together() {
    let sum = admitted(8, true, 1.0);
    assert!((19_000..=26_000).contains(&sum), "{sum}");
}

#[test]
fn gateways_without_reports_enforce_the_limit_with_their_parts() {
    let sum = admitted(8, false, 1.0 / 8.0);
    assert!((19_000..=25_000).contains(&sum), "{sum}");
}

#[test]
fn a_lowered_limit_takes_effect_at_once() {
    let mut quota = SharedQuota::new(Duration::ZERO, LIMIT);
    quota.set_limit(
        ms(10_000),
        RateLimit {
            rate: 10.0,
            burst: 10.0,
        },
    );
    let taken = (10_000..11_000)
        .filter(|now| quota.take(ms(*now), 1, true).is_ok())
        .count();
    assert!(taken <= 20, "{taken}");
}

#[test]
fn units_that_an_old_process_took_before_its_first_report_are_not_charged() {
    let mut quota = SharedQuota::new(Duration::ZERO, LIMIT);
    quota.receive(ms(1), "b", 1, 1_000_000, false);
    assert!(quota.take(ms(2), 100, true).is_ok());
    quota.receive(ms(3), "b", 1, 1_000_500, false);
    assert!(quota.take(ms(4), 100, true).is_err());
}

/// Maximum units admitted in any 8 s by gateways that report their totals to each other every `pause_ms`,
/// each at a different moment, while a tenant requests twelve times its limit.
fn max_in_a_window(gateways: u64, pause_ms: u64) -> u64 {
    const UNITS: u64 = 10;
    let mut quotas: Vec<SharedQuota> = (0..gateways)
        .map(|_| SharedQuota::new(Duration::ZERO, LIMIT))
        .collect();
    let request_interval_ms = gateways * 1000 * UNITS / (12 * LIMIT.rate as u64);
    let mut admitted: Vec<u64> = Vec::new();
    for now in 0..20_000 {
        let mut sum = 0;
        for (i, quota) in quotas.iter_mut().enumerate() {
            let asks = (now + i as u64 * 7).is_multiple_of(request_interval_ms);
            if asks && quota.take(ms(now), UNITS, true).is_ok() {
                sum += UNITS;
            }
        }
        admitted.push(sum);
        for reported in 0..gateways {
            if (now + reported * pause_ms / gateways).is_multiple_of(pause_ms) {
                let total = quotas[reported as usize].taken();
                let others = quotas.iter_mut().enumerate();
                for (_, quota) in others.filter(|(i, _)| *i != reported as usize) {
                    quota.receive(ms(now), &reported.to_string(), 1, total, true);
                }
            }
        }
    }
    let windows = admitted.windows(8000).map(|window| window.iter().sum());
    windows.max().unwrap_or(0)
}

#[test]
fn eight_gateways_admit_at_most_a_tenth_over_the_limit_in_every_window() {
    let max_admitted = max_in_a_window(8, 100);
    assert!(max_admitted <= 9_900, "{max_admitted}");
}

#[test]
fn many_gateways_with_old_gossip_admit_at_most_a_tenth_over_the_limit_in_every_window() {
    let max_admitted = max_in_a_window(83, 500);
    assert!(max_admitted <= 9_900, "{max_admitted}");
}

/// Maximum units admitted in any 8 s by gateways that all start at once, know only each other's
/// addresses, and receive each other's first report within `pause_ms`.
fn max_after_a_common_start(gateways: u64, pause_ms: u64) -> u64 {
    const UNITS: u64 = 10;
    let own_part = 1.0 / gateways as f64;
    let mut quotas: Vec<SharedQuota> = (0..gateways)
        .map(|_| SharedQuota::new(Duration::ZERO, LIMIT))
        .collect();
    quotas
        .iter_mut()
        .for_each(|quota| quota.set_part(Duration::ZERO, own_part));
    let mut admitted: Vec<u64> = Vec::new();
    for now in 0..12_000 {
        let mut sum = 0;
        for quota in &mut quotas {
            if quota.take(ms(now), UNITS, true).is_ok() {
                sum += UNITS;
            }
        }
        admitted.push(sum);
        for reported in 0..gateways {
            if !(now + reported * pause_ms / gateways).is_multiple_of(pause_ms) {
                continue;
            }
            let total = quotas[reported as usize].taken();
            let heard = (now.min(pause_ms) * gateways / pause_ms).max(1) as f64;
            let others = quotas.iter_mut().enumerate();
            for (_, quota) in others.filter(|(i, _)| *i != reported as usize) {
                quota.receive(ms(now), &reported.to_string(), 1, total, true);
                quota.set_part(ms(now), heard / gateways as f64);
            }
        }
    }
    let windows = admitted.windows(8000).map(|window| window.iter().sum());
    windows.max().unwrap_or(0)
}

#[test]
fn many_gateways_that_start_at_once_admit_at_most_a_tenth_over_the_limit_in_every_window() {
    let max_admitted = max_after_a_common_start(83, 500);
    assert!(max_admitted <= 9_900, "{max_admitted}");
}

#[test]
fn a_request_that_is_not_urgent_leaves_headroom_for_urgent_ones() {
    let mut quota = SharedQuota::new(Duration::ZERO, LIMIT);
    // A full bucket serves urgent and other requests.
    assert!(quota.take(ms(2000), 10, false).is_ok());
    assert!(quota.take(ms(2000), 890, true).is_ok());
    assert!(quota.take(ms(2000), 10, false).is_err());
    assert!(quota.take(ms(2000), 100, true).is_ok());
    let wait = quota.take(ms(2000), 10, false).unwrap_err();
    assert!(quota.take(ms(2001) + wait, 10, false).is_ok());
}

#[test]
fn a_large_request_that_is_not_urgent_passes_a_full_bucket() {
    let mut quota = SharedQuota::new(Duration::ZERO, LIMIT);
    assert!(quota.take(ms(2000), 900, false).is_ok());
    assert!(quota.take(ms(10_000), 5000, false).is_ok());
}
