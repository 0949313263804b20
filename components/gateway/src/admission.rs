//! Admits a request: finds its route, its team, its cost and its deadline.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use directory::{Directory, Lookup, Route, Tenant};
use errors::Kind;
use http::request;
use quarantine::{prompt_part, Content, Fingerprint};
use routing::placement::{PromptPart, Work};

use crate::answer::Refusal;
use crate::buffers::{BufferedBody, KeptBody};
use crate::caller::Caller;
use crate::freshness::MaxAges;
use crate::job::{Job, ROUTE_RANKS};
use crate::ports::CallerHead;
use crate::traffic::Traffic;

/// Retry delay when the configuration is not confirmed.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);
/// Upper limit of the parts of a prompt by which requests are held back.
const MAX_SHARED_PARTS: usize = 16;
/// Rank of the least urgent requests; 0 is the most urgent.
pub(crate) const LEAST_URGENT_RANK: u8 = 9;

impl<D> Traffic<D> {
    /// Finds the route and the tenant of a request, and its cost against the tenant's limit.
    pub fn admit(
        &self,
        arrived: Duration,
        parts: request::Parts,
        head: CallerHead,
        body: BufferedBody,
        caller: Rc<Caller>,
    ) -> Result<Job, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let directory = state.directory.clone().ok_or_else(unconfirmed_refusal)?;
        let ages = MaxAges::of(&state.settings);
        let (route, tenant) = match look_up(&directory, &parts, &head) {
            Lookup::Allowed { route, tenant } => (route, tenant),
            _ if !self.freshness.is_confirmed(now, ages.denials) => {
                return Err(unconfirmed_refusal())
            }
            Lookup::NoRoute => {
                return Err(Refusal::not_run(Kind::UnknownRoute, "no route"));
            }
            Lookup::UnknownKey => {
                return Err(Refusal::not_run(Kind::UnknownTeam, "unknown key"));
            }
        };
        let needs_key = directory.needs_key(route);
        if needs_key && !self.freshness.allows_keys(now, ages.keys) {
            return Err(unconfirmed_refusal());
        }
        let service = state.pick_service(&route.split).unwrap_or_default();
        let spec = directory.configuration().services.get(&service);
        let expiry = arrived + head.deadline.unwrap_or(route.timeout).min(route.timeout);
        let tokens = head.tokens.unwrap_or_default();
        let team = tenant.map(|tenant| tenant.name.as_str());
        let content = Fingerprint::of(&request_content(&parts, team, &body.bytes));
        let job = Job {
            content,
            shared_parts: shared_parts(&service, &head.parts),
            is_trial: Cell::new(false),
            needs_key,
            work: Work {
                service: service.clone(),
                parts: head.parts.clone(),
                prompt_tokens: tokens.0,
                answer_tokens: head.answer_guess.unwrap_or(tokens.1),
                body_bytes: body.bytes.len().min(u32::MAX as usize) as u32,
            },
            is_engine: spec.is_some_and(|s| s.engine.is_some()),
            max_connections: spec.map_or(u32::MAX, |s| s.max_connections),
            cost: tenant.map_or(0, |t| request_cost(&head, t)),
            priority: rank(route, tenant),
            tenant: tenant.map(|t| t.name.clone()),
            route: route.clone(),
            version: directory.configuration().version,
            parts,
            head,
            body: KeptBody::new(body),
            caller,
            arrived,
            expiry,
        };
        Ok(job)
    }
}

fn shared_parts(service: &str, parts: &[PromptPart]) -> Vec<Fingerprint> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared = shared.iter().take(MAX_SHARED_PARTS);
    let mut shared: Vec<_> = shared.map(|part| prompt_part(service, part.id)).collect();
    shared.sort_unstable();
    shared.dedup();
    shared
}

fn request_content<'a>(
    parts: &'a request::Parts,
    team: Option<&'a str>,
    body: &'a [u8],
) -> Content<'a> {
    let target = parts.uri.path_and_query();
    Content {
        method: parts.method.as_str(),
        host: host_name(parts),
        target: target.map_or("", |target| target.as_str()),
        team,
        body,
    }
}

fn host_name(parts: &request::Parts) -> &str {
    let field = parts.headers.get(http::header::HOST);
    let host = field.and_then(|value| value.to_str().ok());
    host.or(parts.uri.host()).unwrap_or_default()
}

/// Looks up the route and the tenant of a request in the configuration.
pub(crate) fn look_up<'a>(
    directory: &'a Directory,
    parts: &request::Parts,
    head: &CallerHead,
) -> Lookup<'a> {
    directory.look_up(host_name(parts), parts.uri.path(), head.key.as_deref())
}

/// Refusal while the configuration isn't known to be the newest.
pub(crate) fn unconfirmed_refusal() -> Refusal {
    let message = "the configuration is not confirmed";
    Refusal::not_run(Kind::PlatformUnavailable, message).with_retry_after(UNCONFIRMED_RETRY)
}

/// Rank of a request: its tenant's priority first, then its route's.
pub(crate) fn rank(route: &Route, tenant: Option<&Tenant>) -> u8 {
    let tenant = tenant.and_then(|t| t.priority).unwrap_or_default();
    let route = route.priority.min(ROUTE_RANKS - 1);
    (tenant.saturating_mul(ROUTE_RANKS) + route).min(LEAST_URGENT_RANK)
}

// Cost of a request in units of its tenant's limit.
fn request_cost(head: &CallerHead, tenant: &Tenant) -> u64 {
    let Some(plain) = tenant.quota.and_then(|quota| quota.default_token_cost) else {
        return 1;
    };
    let tokens = head.tokens;
    tokens.map_or(plain, |(prompt, answer)| {
        u64::from(prompt) + u64::from(answer)
    })
}
