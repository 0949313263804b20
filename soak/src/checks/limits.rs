//! Checks of what all gateways share. They bind every gateway, in touch or not.

use super::requests::LIMITED_KEY;
use super::view::View;
use super::Verdicts;

/// Window of a team's limit, in ms (`quotaWindowS`).
const QUOTA_WINDOW: u64 = 8_000;
/// The limited team's requests in a window: 5 a second and 5 at once, a tenth over
/// (`quotaOverage`), and 30 (`quotaTolerance`, as in the settings).
const QUOTA_MOST: usize = 80;
/// Window of the budget of repeats, in ms (`budgetWindowS`).
const REPEATS_WINDOW: u64 = 10_000;
/// One repeat for so many requests (`retryBudgetRatio` of 0.05, as in the settings).
const REQUESTS_EACH: usize = 20;
/// Repeats beside that (`retryBudgetExtra`, as in the settings).
const REPEATS_EXTRA: usize = 10;

fn within(times: &[u64], from: u64, length: u64) -> usize {
    let before = |end| times.partition_point(|at| *at < end);
    before(from + length) - before(from)
}

/// A team's requests that run stay within its limit.
pub(super) fn quotas(view: &View<'_>, verdicts: &mut Verdicts) {
    let limited = view.requests.values().filter(|r| r.key == LIMITED_KEY);
    let mut runs: Vec<u64> = limited.flat_map(|r| r.begun.iter().map(|b| b.0)).collect();
    runs.sort_unstable();
    for &from in &runs {
        let ran = within(&runs, from, QUOTA_WINDOW);
        verdicts.judge("limits", ran <= QUOTA_MOST, from, || {
            format!("{ran} requests of the limited team in {QUOTA_WINDOW} ms")
        });
    }
}

/// Arrivals past the first of each request stay within their budget.
pub(super) fn repeats(view: &View<'_>, verdicts: &mut Verdicts) {
    for (service, repeats) in &view.repeats {
        let requests = view.requests.values().filter(|r| r.service() == *service);
        let mut sent: Vec<u64> = requests.map(|r| r.sent).collect();
        sent.sort_unstable();
        for &from in repeats {
            let starts = [0, REPEATS_WINDOW / 2, REPEATS_WINDOW];
            let asked = starts.map(|back| within(&sent, from.saturating_sub(back), REPEATS_WINDOW));
            let asked = asked.into_iter().max().unwrap_or(0);
            let most = asked / REQUESTS_EACH + REPEATS_EXTRA;
            let repeated = within(repeats, from, REPEATS_WINDOW);
            verdicts.judge("repeats", repeated <= most, from, || {
                format!("{repeated} repeats at {service}, {most} allowed for {asked} requests")
            });
        }
    }
}
