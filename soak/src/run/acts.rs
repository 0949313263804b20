//! What is done to the gateways and their surroundings, now or later.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use super::Soak;
use crate::gateways::hall;
use crate::history::{Place, Seen};
use crate::link::Link;
use crate::plan::{Act, Mood, Way};
use crate::standins::client::NO_GATEWAY;
use crate::standins::endpoint::{Endpoint, NamedLimit};
use crate::standins::operator::{configuration, entry};
use crate::standins::store::LostRow;

/// A gateway that was asked to stop is killed after that time, in ms.
const GRACE: u64 = 8_000;
/// A gateway whose process is gone is started again after that time, in ms.
const RESTART: u64 = 400;
/// An endpoint that leaves serves on for that time, in ms: its bound of 2 s and a while longer.
const SERVES_ON: u64 = 4_000;
/// An endpoint that is gone is replaced after that time, in ms.
const REPLACED: u64 = 700;
/// An endpoint that its request ended starts again under its id after that time, in ms.
const STARTS_AGAIN: u64 = 900;

/// Time, in ms, from a restore until the first lost row is rewritten.
const REWRITE_DELAY: u64 = 100;
/// Time between rewrites of lost rows, in ms.
const REWRITE_INTERVAL: u64 = 130;
/// Period over which these rewrites are spread, in ms; further rows start over at its beginning.
const REWRITE_PERIOD: u64 = 1_500;
/// Time, in ms, from a restore until a restored row that its writer had deleted expires.
const EXPIRY_DELAY: u64 = 3_600;

/// Versions of the endpoints' software.
const SOFTWARE: [&str; 2] = ["v1", "v2"];

/// What is done later.
pub(super) enum Later {
    Continue(usize),
    Start(usize),
    GraceOver(usize, u64),
    Mend(usize),
    MendRegion,
    MendEndpoint(usize, Link),
    MendStore,
    TakeBack(usize),
    Disperse,
    Restore(Duration),
    Rewrite(LostRow),
    End(usize, Endpoint),
    Replace(usize),
    StartAgain(usize, String),
}

impl Soak {
    fn after(&mut self, ms: u64, later: Later) {
        self.later.push((self.history.now() + ms, later));
    }

    fn concentrate(&self, gateway: Option<usize>) {
        let reached = gateway.unwrap_or(NO_GATEWAY);
        self.shared.most_reached.store(reached, Ordering::SeqCst);
        self.history.note(Seen::Concentrated { gateway });
    }

    fn fault(&self, place: Place, what: impl std::fmt::Debug) {
        let what = format!("{what:?}");
        self.history.note(Seen::Fault { place, what });
    }

    fn healed(&self, place: Place, what: &str) {
        let what = what.to_string();
        self.history.note(Seen::Healed { place, what });
    }

    pub(super) fn act(&mut self, act: &Act) -> io::Result<()> {
        match act {
            Act::Pause { gateway, ms } => {
                self.fault(Place::Gateway(*gateway), "pause");
                self.gateways[*gateway].signal(Signal::STOP)?;
                self.after(*ms, Later::Continue(*gateway));
            }
            Act::Kill { gateway, ms } => self.kill(*gateway, *ms)?,
            Act::KillAll => {
                for gateway in 0..self.gateways.len() {
                    self.kill(gateway, RESTART)?;
                }
            }
            Act::Stop { gateway } => self.ask_to_stop(*gateway)?,
            Act::Replace { gateway, older } => {
                self.gateways[*gateway].is_older = *older;
                self.ask_to_stop(*gateway)?;
            }
            Act::Reload { gateway } => self.gateways[*gateway].signal(Signal::HUP)?,
            Act::Link { gateway, how, ms } => {
                self.fault(Place::Gateway(*gateway), how);
                self.links[*gateway].set(*how);
                self.after(*ms, Later::Mend(*gateway));
            }
            Act::Region { how, ms } => {
                self.set_region(*how);
                self.after(*ms, Later::MendRegion);
            }
            Act::EndpointLink { endpoint, how, ms } => {
                if let Some((_, link)) = self.endpoints[*endpoint].clone() {
                    self.fault(Place::Endpoint(*endpoint), how);
                    link.set(*how);
                    self.after(*ms, Later::MendEndpoint(*endpoint, link));
                }
            }
            Act::Store { how, ms } => {
                self.fault(Place::Store, how);
                self.store.set(*how);
                self.after(*ms, Later::MendStore);
            }
            Act::Forget => {
                self.fault(Place::Store, "forget");
                self.store.forget();
                self.healed(Place::Store, "forget");
            }
            Act::Restore { away_ms, age_ms } => {
                self.fault(Place::Store, "restore");
                self.store.set_down(true);
                let age = Duration::from_millis(*away_ms + *age_ms);
                self.after(*away_ms, Later::Restore(age));
            }
            Act::TurnAway { gateway, ms } => {
                // Those that it serves find no sound store either: it is the store's fault.
                self.fault(Place::Store, "turned away");
                self.store.turn_away(*gateway, true);
                self.after(*ms, Later::TakeBack(*gateway));
            }
            Act::Configure => self.configures += 1,
            Act::Leave { endpoint } => self.leave(*endpoint),
            Act::LeaveUntold { endpoint } => self.leave_untold(*endpoint),
            Act::AskPause { endpoint, ms } => {
                if let Some((endpoint, _)) = &self.endpoints[*endpoint] {
                    endpoint.ask_pause(*ms);
                }
            }
            Act::FailAll { ms } => {
                let endpoints = self.endpoints.iter().flatten();
                endpoints.for_each(|(endpoint, _)| endpoint.fail_all(*ms));
            }
            Act::NameLimit {
                endpoint,
                milli,
                ms,
            } => self.name_limit(*endpoint, *milli, *ms),
            Act::Concentrate { gateway, ms } => {
                self.concentrate(Some(*gateway));
                self.after(*ms, Later::Disperse);
            }
            Act::Crash { endpoint } => self.crash(*endpoint),
        }
        Ok(())
    }

    pub(super) fn do_due(&mut self) -> io::Result<()> {
        // The operator comes back while the store is down.
        if self.configures > 0 && !self.store.is_down() {
            self.configure();
        }
        let now = self.history.now();
        let (due, rest) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = rest;
        let due: Vec<(u64, Later)> = due;
        for (_, later) in due {
            self.do_later(later)?;
        }
        Ok(())
    }

    fn do_later(&mut self, later: Later) -> io::Result<()> {
        match later {
            Later::Continue(gateway) => {
                self.gateways[gateway].signal(Signal::CONT)?;
                self.healed(Place::Gateway(gateway), "pause");
            }
            Later::Start(gateway) => self.start_gateway(gateway)?,
            // It may have been started and asked again since.
            Later::GraceOver(gateway, at) if self.asked[gateway] == Some(at) => {
                self.gateways[gateway].signal(Signal::KILL)?;
            }
            Later::GraceOver(..) => {}
            Later::Disperse => self.concentrate(None),
            Later::Mend(gateway) => {
                self.links[gateway].set(Way::Sound);
                self.healed(Place::Gateway(gateway), "link");
            }
            Later::MendRegion => self.set_region(Way::Sound),
            Later::MendEndpoint(endpoint, link) => {
                link.set(Way::Sound);
                self.healed(Place::Endpoint(endpoint), "link");
            }
            Later::MendStore => {
                self.store.set(Mood::Good);
                self.healed(Place::Store, "mood");
            }
            Later::Restore(age) => {
                for (number, lost) in (0..).zip(self.store.restore(age)) {
                    let at = match lost.is_deleted {
                        true => EXPIRY_DELAY,
                        false => REWRITE_DELAY + number * REWRITE_INTERVAL % REWRITE_PERIOD,
                    };
                    self.after(at, Later::Rewrite(lost));
                }
                self.store.set_down(false);
                self.healed(Place::Store, "restore");
            }
            Later::Rewrite(lost) => self.store.rewrite(&lost),
            Later::TakeBack(gateway) => {
                self.store.turn_away(gateway, false);
                self.healed(Place::Store, "turned away");
            }
            Later::End(index, endpoint) => {
                endpoint.end();
                self.store.put("servers", endpoint.id(), None);
                self.after(REPLACED, Later::Replace(index));
            }
            Later::Replace(index) => self.start_endpoint(index)?,
            Later::StartAgain(index, id) => self.start_endpoint_as(index, &id)?,
        }
        Ok(())
    }

    fn set_region(&mut self, way: Way) {
        for (index, link) in self.region.links.iter().enumerate() {
            let Some(link) = link else {
                continue;
            };
            let place = Place::Gateway(index);
            match way {
                Way::Sound => self.healed(place, "region"),
                way => self.fault(place, way),
            }
            link.set(way);
        }
    }

    pub(super) fn configure(&mut self) {
        self.configures -= 1;
        self.version += 1;
        let text = configuration(self.version);
        self.store.put("op", "config", Some(&text));
        let version = self.version;
        self.history.note(Seen::Configured { version });
        self.shared.newest.store(version, Ordering::SeqCst);
    }

    pub(super) fn start_gateway(&mut self, index: usize) -> io::Result<()> {
        if self.gateways[index].is_started() {
            return Ok(());
        }
        self.asked[index] = None;
        self.killed[index] = false;
        self.gateways[index].start()?;
        self.history.note(Seen::Started { gateway: index });
        if self.gateways[index].is_older {
            self.history.note(Seen::RunsOlder { gateway: index });
        }
        Ok(())
    }

    fn kill(&mut self, index: usize, ms: u64) -> io::Result<()> {
        if !self.gateways[index].is_started() {
            return Ok(());
        }
        self.fault(Place::Gateway(index), "kill");
        self.killed[index] = true;
        self.gateways[index].signal(Signal::KILL)?;
        self.after(ms, Later::Start(index));
        Ok(())
    }

    fn ask_to_stop(&mut self, index: usize) -> io::Result<()> {
        if self.asked[index].is_some() || !self.gateways[index].is_started() {
            return Ok(());
        }
        let now = self.history.now();
        self.asked[index] = Some(now);
        self.history.note(Seen::Asked { gateway: index });
        self.gateways[index].signal(Signal::TERM)?;
        self.after(GRACE, Later::GraceOver(index, now));
        Ok(())
    }

    pub(super) fn look_at_processes(&mut self) -> io::Result<()> {
        for index in 0..self.gateways.len() {
            if self.gateways[index].ended()?.is_none() {
                continue;
            }
            let own = self.asked[index].is_none() && !self.killed[index];
            let gateway = index;
            self.history.note(Seen::Gone { gateway, own });
            if self.killed[index] {
                self.healed(Place::Gateway(index), "kill");
            }
            self.after(RESTART, Later::Start(index));
        }
        Ok(())
    }

    pub(super) fn start_endpoint(&mut self, index: usize) -> io::Result<()> {
        self.incarnations += 1;
        let id = format!("e{index}-{}", self.incarnations);
        self.start_endpoint_as(index, &id)
    }

    fn start_endpoint_as(&mut self, index: usize, id: &str) -> io::Result<()> {
        self.endpoint_starts += 1;
        // Several versions serve side by side all the time, and an endpoint may change its version under its id.
        let software = SOFTWARE[self.endpoint_starts / 2 % SOFTWARE.len()];
        let endpoint = Endpoint::start(id, service_of(index), software, &self.history)?;
        if let Some(limit) = self.limits[index] {
            endpoint.name_limit(limit);
        }
        let link = Link::to(endpoint.address)?;
        endpoint.set_link(&link);
        self.record_endpoint(index, &endpoint, &link, "ready");
        self.endpoints[index] = Some((endpoint, link));
        Ok(())
    }

    /// Endpoints that a request ended: nothing goes there any more, until they start again.
    pub(super) fn look_at_endpoints(&mut self) {
        for index in 0..self.endpoints.len() {
            let ended = |(endpoint, _): &mut (Endpoint, Link)| endpoint.has_ended();
            let Some((endpoint, link)) = self.endpoints[index].take_if(ended) else {
                continue;
            };
            link.set(Way::Cut);
            let id = endpoint.id().to_string();
            self.after(STARTS_AGAIN, Later::StartAgain(index, id));
        }
    }

    fn record_endpoint(&self, index: usize, endpoint: &Endpoint, link: &Link, state: &str) {
        let service = service_of(index);
        let software = endpoint.software();
        let address = link.address.to_string();
        let text = entry(
            service,
            &address,
            hall(index),
            state,
            software,
            endpoint.born,
        );
        self.store.put("servers", endpoint.id(), Some(&text));
    }

    fn leave(&mut self, index: usize) {
        let Some((endpoint, link)) = self.endpoints[index].take() else {
            return;
        };
        endpoint.leave();
        self.record_endpoint(index, &endpoint, &link, "draining");
        let id = endpoint.id().to_string();
        self.history.note(Seen::Leaving { endpoint: id });
        self.after(SERVES_ON, Later::End(index, endpoint));
    }

    fn leave_untold(&mut self, index: usize) {
        let Some((endpoint, _)) = self.endpoints[index].take() else {
            return;
        };
        endpoint.leave();
        self.after(SERVES_ON, Later::End(index, endpoint));
    }

    // An endpoint that is away names its limit when the next one starts in its place.
    fn name_limit(&mut self, index: usize, milli: u64, ms: u64) {
        let until = self.history.now() + ms;
        let limit = NamedLimit { milli, until };
        self.limits[index] = Some(limit);
        if let Some((endpoint, _)) = &self.endpoints[index] {
            endpoint.name_limit(limit);
        }
    }

    fn crash(&mut self, index: usize) {
        let Some((endpoint, link)) = self.endpoints[index].take() else {
            return;
        };
        endpoint.end();
        link.set(Way::Cut);
        self.after(SERVES_ON, Later::End(index, endpoint));
    }
}

/// Service of the endpoint at a position.
fn service_of(index: usize) -> &'static str {
    ["a", "b"][index / 2 % 2]
}
