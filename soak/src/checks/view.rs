//! A history by request, and by fault.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{Kind, Lack, Place, Record, Seen};

/// A gateway counts as in touch after so long without a fault, in ms (`contactMs`).
pub(super) const CONTACT: u64 = 3_000;

/// What the soak's own threads may be late by when they write something down, in ms.
pub(super) const NOTE_SLACK: u64 = 300;

/// What a fault is called in which a process stands.
pub(super) const PAUSE: &str = "pause";

/// Answers of a gateway that gives up a request which may have run.
const GIVEN_UP: [u16; 2] = [502, 504];

/// What became of one request.
pub(super) struct Request<'a> {
    pub id: &'a str,
    pub kind: Kind,
    pub path: &'a str,
    pub key: &'a str,
    pub gateway: usize,
    pub sent: u64,
    /// Whether its gateway was of an older build.
    pub is_older: bool,
    /// Starts of its gateway before it was sent.
    pub life: usize,
    pub outcome: Option<(u64, &'a Seen)>,
    /// When it arrived at endpoints, also where it was turned away, and where.
    pub arrived: Vec<(u64, &'a str)>,
    /// When it began at endpoints, and where.
    pub begun: Vec<(u64, &'a str)>,
    /// An endpoint ended it badly on purpose.
    pub broke_off: bool,
    /// Its client closed the connection in the middle of the answer.
    pub lost_connection: bool,
}

impl Request<'_> {
    /// The service that it is for, by the operator's routes.
    pub fn service(&self) -> &'static str {
        match self.kind {
            Kind::Stream | Kind::Resumable => "b",
            Kind::Once | Kind::Repeatable => "a",
        }
    }

    /// Status of its answer.
    pub fn status(&self) -> Option<u16> {
        match self.outcome {
            Some((_, Seen::Answered { status, .. })) => Some(*status),
            _ => None,
        }
    }

    /// When its gateway had passed an endpoint's answer on; the client writes it down when it has read it.
    pub fn passed_on(&self) -> Option<u64> {
        match self.outcome {
            Some((at, Seen::Answered { signed: true, .. })) => Some(at),
            _ => None,
        }
    }

    /// When its gateway answered that it doesn't know how it ended.
    pub fn given_up(&self) -> Option<u64> {
        match self.outcome {
            Some((at, Seen::Answered { status, signed, .. })) => {
                (!signed && GIVEN_UP.contains(status)).then_some(at)
            }
            _ => None,
        }
    }

    /// When its client left.
    pub fn abandoned(&self) -> Option<u64> {
        let left = |seen: &Seen| {
            matches!(
                seen,
                Seen::Unanswered {
                    why: Lack::Left,
                    ..
                }
            )
        };
        let (at, seen) = self.outcome?;
        left(seen).then_some(at)
    }

    /// Whether its connection closed before a head came.
    pub fn closed(&self) -> bool {
        let closed = |seen: &Seen| {
            matches!(
                seen,
                Seen::Unanswered {
                    why: Lack::Closed,
                    ..
                }
            )
        };
        self.outcome.is_some_and(|(_, seen)| closed(seen))
    }
}

/// A time in which something was wrong.
struct Span {
    place: Place,
    from: u64,
    to: u64,
}

/// A history as the checks look at it.
pub(super) struct View<'a> {
    pub records: &'a [Record],
    pub requests: BTreeMap<&'a str, Request<'a>>,
    /// When requests arrived at endpoints past their first time, by service.
    pub repeats: BTreeMap<&'static str, Vec<u64>>,
    /// Configurations and when the store took them.
    pub configured: Vec<(u64, u64)>,
    /// End of the run.
    pub end: u64,
    faults: Vec<Span>,
    restarts: Vec<Span>,
    // Times in which a gateway's process stood.
    pauses: Vec<Span>,
    /// Times in which most new connections went to one gateway.
    pub concentrations: Vec<(usize, u64, u64)>,
    // Gateways that are of the older build so far.
    older: BTreeSet<usize>,
}

impl<'a> View<'a> {
    /// Reads a history.
    pub fn of(records: &'a [Record]) -> Self {
        let end = records.last().map_or(0, |record| record.at);
        let mut view = View {
            records,
            requests: BTreeMap::new(),
            repeats: BTreeMap::new(),
            configured: Vec::new(),
            end,
            faults: Vec::new(),
            restarts: Vec::new(),
            pauses: Vec::new(),
            concentrations: Vec::new(),
            older: BTreeSet::new(),
        };
        let mut lives: BTreeMap<usize, usize> = BTreeMap::new();
        let mut open: Vec<(Place, u64, usize)> = Vec::new();
        for record in records {
            view.read(record, &mut lives, &mut open);
        }
        for (place, from, _) in open {
            view.faults.push(Span {
                place,
                from,
                to: end,
            });
        }
        view
    }

    fn read(
        &mut self,
        record: &'a Record,
        lives: &mut BTreeMap<usize, usize>,
        open: &mut Vec<(Place, u64, usize)>,
    ) {
        let at = record.at;
        match &record.seen {
            Seen::Sent {
                id,
                kind,
                path,
                key,
                gateway,
            } => {
                let request = Request {
                    id,
                    kind: *kind,
                    path,
                    key,
                    gateway: *gateway,
                    sent: at,
                    is_older: self.older.contains(gateway),
                    life: lives.get(gateway).copied().unwrap_or(0),
                    outcome: None,
                    arrived: Vec::new(),
                    begun: Vec::new(),
                    broke_off: false,
                    lost_connection: false,
                };
                self.requests.insert(id, request);
            }
            Seen::Answered { id, .. } | Seen::Unanswered { id, .. } => {
                if let Some(request) = self.requests.get_mut(id.as_str()) {
                    request.outcome = Some((at, &record.seen));
                }
            }
            Seen::TurnedAway { id, endpoint } => self.arrive(id, endpoint, at),
            Seen::Began { id, endpoint, .. } => {
                self.arrive(id, endpoint, at);
                if let Some(request) = self.requests.get_mut(id.as_str()) {
                    request.begun.push((at, endpoint));
                }
            }
            Seen::BrokeOff { id } => {
                if let Some(request) = self.requests.get_mut(id.as_str()) {
                    request.broke_off = true;
                }
            }
            Seen::LostConnection { id } => {
                if let Some(request) = self.requests.get_mut(id.as_str()) {
                    request.lost_connection = true;
                }
            }
            Seen::Concentrated { gateway } => {
                if let Some((_, _, to)) = self.concentrations.last_mut() {
                    *to = (*to).min(at);
                }
                let concentrations = gateway.map(|gateway| (gateway, at, u64::MAX));
                self.concentrations.extend(concentrations);
            }
            Seen::Configured { version } => self.configured.push((at, *version)),
            Seen::Fault { place, what } => {
                if what.contains(PAUSE) {
                    let (place, to) = (*place, u64::MAX);
                    self.pauses.push(Span {
                        place,
                        from: at,
                        to,
                    });
                }
                self.begin_fault(*place, at, open);
            }
            Seen::Healed { place, what } => {
                if what == PAUSE {
                    self.end_pauses(*place, at);
                }
                self.end_fault(*place, at, open);
            }
            Seen::Started { gateway } => {
                *lives.entry(*gateway).or_default() += 1;
                self.older.remove(gateway);
                self.restart(*gateway, at, at);
            }
            Seen::RunsOlder { gateway } => {
                self.older.insert(*gateway);
            }
            Seen::Asked { gateway } => {
                let back = self.next_start(*gateway, at);
                self.restart(*gateway, at, back);
            }
            Seen::Gone { gateway, .. } => {
                let back = self.next_start(*gateway, at);
                self.restart(*gateway, at, back);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, id: &str, endpoint: &'a str, at: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.arrived.push((at, endpoint));
        if request.arrived.len() > 1 {
            let service = request.service();
            self.repeats.entry(service).or_default().push(at);
        }
    }

    // Faults at one place may overlap; the place is sound again after the last.
    fn begin_fault(&mut self, place: Place, at: u64, open: &mut Vec<(Place, u64, usize)>) {
        match open.iter_mut().find(|(open, ..)| *open == place) {
            Some((_, _, depth)) => *depth += 1,
            None => open.push((place, at, 1)),
        }
    }

    fn end_fault(&mut self, place: Place, to: u64, open: &mut Vec<(Place, u64, usize)>) {
        let Some(index) = open.iter().position(|(open, ..)| *open == place) else {
            return;
        };
        open[index].2 -= 1;
        if open[index].2 == 0 {
            let (place, from, _) = open.remove(index);
            self.faults.push(Span { place, from, to });
        }
    }

    fn end_pauses(&mut self, place: Place, at: u64) {
        let open = self.pauses.iter_mut().filter(|span| span.to == u64::MAX);
        for span in open.filter(|span| span.place == place) {
            span.to = at;
        }
    }

    fn restart(&mut self, gateway: usize, from: u64, to: u64) {
        let place = Place::Gateway(gateway);
        self.restarts.push(Span { place, from, to });
    }

    fn next_start(&self, gateway: usize, after: u64) -> u64 {
        let starts = self.records.iter().filter(|record| record.at >= after);
        let mut starts = starts.filter(|record| record.seen == Seen::Started { gateway });
        starts.next().map_or(self.end, |record| record.at)
    }

    /// Whether a place was without a fault all the time.
    pub fn is_sound(&self, place: Place, from: u64, to: u64) -> bool {
        is_clear(&self.faults, place, from, to)
    }

    /// Whether a gateway's process stood at no time.
    pub fn has_run(&self, gateway: usize, from: u64, to: u64) -> bool {
        is_clear(&self.pauses, Place::Gateway(gateway), from, to)
    }

    /// Whether a gateway and the store were without a fault and a restart for long enough.
    pub fn is_in_touch(&self, gateway: usize, from: u64, to: u64) -> bool {
        let from = from.saturating_sub(CONTACT);
        self.is_undisturbed(gateway, from, to) && is_clear(&self.faults, Place::Store, from, to)
    }

    /// Whether a gateway was without a fault and a restart all the time.
    pub fn is_undisturbed(&self, gateway: usize, from: u64, to: u64) -> bool {
        let place = Place::Gateway(gateway);
        is_clear(&self.faults, place, from, to) && is_clear(&self.restarts, place, from, to)
    }

    /// When the last fault at a place ended before a time.
    pub fn last_healed(&self, place: Place, before: u64) -> Option<u64> {
        let ended = self.faults.iter().filter(|span| span.place == place);
        let ended = ended.map(|span| span.to).filter(|to| *to <= before);
        ended.max()
    }

    /// The newest configuration that the store had taken by a time.
    pub fn newest(&self, at: u64) -> u64 {
        let taken = self.configured.iter().filter(|(taken, _)| *taken <= at);
        taken.map(|(_, version)| *version).max().unwrap_or(0)
    }
}

fn is_clear(spans: &[Span], place: Place, from: u64, to: u64) -> bool {
    let mut spans = spans.iter().filter(|span| span.place == place);
    spans.all(|span| span.to < from || span.from > to)
}

/// The place of an endpoint, from its id (`eINDEX-INCARNATION`).
pub(super) fn place_of(endpoint: &str) -> Option<Place> {
    let index = endpoint.strip_prefix('e')?.split('-').next()?;
    Some(Place::Endpoint(index.parse().ok()?))
}
