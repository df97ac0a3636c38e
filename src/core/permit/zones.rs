//! Decides at placement whether a request leaves its availability zone.
//!
//! Designed for pools whose zones have unequal shares of the callers and of the
//! endpoints, load waves that reach the zones one after another, and a zone that
//! loses half of its endpoints; also for services with two endpoints in each of
//! four zones, where a zone is full by chance several times a second.
//!
//! - A request stays if a free slot of its zone can finish it within its response
//!   time goal, or if a slot there is expected to become free in time and the wait
//!   costs less than crossing.
//! - It may leave otherwise. If its zone would still meet the goal, other zones
//!   accept it only with capacity that their own callers are not expected to need.
//!   If its zone would miss the goal, any free slot will do, unless the callers of
//!   that zone wait as long for it or have to meet their goals as soon.
//! - The need of a zone is averaged over [`LOAD_WINDOW_US`]. A zone begins to offer
//!   spare capacity below a lower threshold and ends above a higher one, and a zone
//!   that sends requests to others offers none, so that two zones do not exchange
//!   requests while their load waves cross.

use crate::core::{
    permit::{
        endpoint::{
            ZONE_COST_US,
            ZONE_COST_US_PER_BYTE, //
        },
        load::{
            Average,
            LOAD_WINDOW_US, //
        },
        Dispatcher,
        Waiter, //
    },
    time::Instant,
};

/// Multiple of the expected service time that must be left before the goal for a free slot to
/// count as in time. With 2, requests stayed at the slowest endpoints of small zones and were late.
const FREE_SERVICE_MARGIN: f64 = 2.5;

/// The same for a slot that is not free yet, as the wait is an estimate too. With 2, 0.7 % more
/// requests were late in a zone that receives more than it can serve.
const QUEUED_SERVICE_MARGIN: f64 = 3.0;

/// Difference of waits from which a request that would miss its goal leaves; about two round
/// trips between zones.
const MIN_GAIN_US: f64 = 2_000.0;

/// Shares of a zone's capacity below which it begins and above which it ends to offer spare
/// capacity. The need includes one standard deviation of the callers' load.
const OFFER_SHARES: (f64, f64) = (0.85, 0.95);

/// Share of the expected service time that is assumed to remain of a request that has taken
/// nearly as long as expected, or longer.
const OVERDUE_SHARE: f64 = 0.25;

/// Time constant over which the share of requests that leave a zone is averaged, in
/// microseconds; more than ten usual service times.
const SENT_WINDOW_US: f64 = 2_000_000.0;

/// Shares of requests that leave a zone from which the zone counts as sending, and below which it
/// no longer does.
const SENT_SHARES: (f64, f64) = (0.05, 0.01);

/// Fewest requests within [`SENT_WINDOW_US`] that make a zone count as sending.
const MIN_SENT: f64 = 3.0;

/// Counters of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests of the zone's callers that were placed in the zone.
    pub stayed: u64,
    /// Requests of the zone's callers that were placed in other zones.
    pub sent: u64,
    /// Bytes of bodies of the requests that were placed in other zones.
    pub sent_bytes: u64,
    /// Requests of other zones' callers that were placed in the zone.
    pub accepted: u64,
}

/// A zone that begins or ends sending requests to other zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the zone.
    pub zone: Box<str>,
    /// Whether it begins.
    pub is_sending: bool,
    /// Share of its callers' requests that left it lately, in percent.
    pub sent_percent: u32,
}

/// What is expected of a request in its own zone.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Time until a slot is free.
    pub wait_us: f64,
    /// Service time.
    pub service_us: f64,
    /// Time left to meet the response time goal.
    pub goal_us: f64,
    /// Cost of sending the request to another zone.
    pub crossing_us: f64,
}

/// Where a request may be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// In its own zone only.
    Stay,
    /// Also in zones that offer spare capacity: the wait costs more than crossing.
    MayLeave,
    /// Also in any zone with a free slot: the own zone would miss the goal.
    MustLeave,
}

impl Outlook {
    /// Decides where the request may be placed.
    pub fn verdict(&self) -> Verdict {
        let margin = match self.wait_us > 0.0 {
            true => QUEUED_SERVICE_MARGIN,
            false => FREE_SERVICE_MARGIN,
        };
        if self.wait_us + self.service_us * margin > self.goal_us {
            Verdict::MustLeave
        } else if self.wait_us > self.crossing_us {
            Verdict::MayLeave
        } else {
            Verdict::Stay
        }
    }
}

/// Returns the cost of sending a request with a body of this length to another zone.
pub fn crossing_us(bytes: u32) -> f64 {
    ZONE_COST_US + ZONE_COST_US_PER_BYTE * f64::from(bytes)
}

#[derive(Clone, Debug)]
struct Zone {
    name: Box<str>,
    /// Slots of mean speed that the zone's own callers need.
    need: Average,
    /// Requests of the zone's callers that were placed.
    placed: Average,
    /// Requests of the zone's callers that were placed in other zones.
    sent: Average,
    is_sending: bool,
    offers_capacity: bool,
    counts: Counts,
}

impl Zone {
    /// Returns the slots that the zone's callers are expected to need, with one standard
    /// deviation of their number.
    fn need(&self, now: Instant) -> f64 {
        let mean = self.need.value(now);
        mean + mean.sqrt()
    }

    fn sent_share(&self, now: Instant) -> f64 {
        self.sent.value(now) / self.placed.value(now).max(1.0)
    }
}

/// Load and placements by zone.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    is_enabled: bool,
    /// Sorted by name.
    zones: Vec<Zone>,
    changes: Vec<Change>,
}

impl Zones {
    /// Tells whether requests are kept in their zones.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records a request of a zone's caller that takes `mean_us` on an endpoint of mean speed.
    pub fn record_demand(&mut self, zone: &str, mean_us: f64, now: Instant) {
        if self.is_enabled {
            self.get(zone).need.add(mean_us, LOAD_WINDOW_US, now);
        }
    }

    fn record_placement(&mut self, from: &str, to: &str, bytes: u32, now: Instant) {
        if !self.is_enabled {
            return;
        }
        let is_sent = from != to;
        let zone = self.get(from);
        zone.placed.add(SENT_WINDOW_US, SENT_WINDOW_US, now);
        if is_sent {
            zone.sent.add(SENT_WINDOW_US, SENT_WINDOW_US, now);
            zone.counts.sent += 1;
            zone.counts.sent_bytes += u64::from(bytes);
            self.get(to).counts.accepted += 1;
        } else {
            zone.counts.stayed += 1;
        }
    }

    /// Updates which zones send requests to others and which offer spare capacity.
    fn update(&mut self, capacities: &[(Box<str>, f64)], now: Instant) {
        for (name, capacity) in capacities {
            let zone = self.get(name);
            let share = zone.sent_share(now);
            let is_sending = if zone.is_sending {
                share > SENT_SHARES.1
            } else {
                share >= SENT_SHARES.0 && zone.sent.value(now) >= MIN_SENT
            };
            let limit = match zone.offers_capacity {
                true => OFFER_SHARES.1,
                false => OFFER_SHARES.0,
            };
            zone.offers_capacity = !is_sending && zone.need(now) <= capacity * limit;
            if is_sending != zone.is_sending {
                zone.is_sending = is_sending;
                let change = Change {
                    zone: name.clone(),
                    is_sending,
                    sent_percent: (share * 100.0) as u32,
                };
                self.changes.push(change);
            }
        }
    }

    fn find(&self, name: &str) -> Option<&Zone> {
        let position = self.zones.binary_search_by(|zone| (*zone.name).cmp(name));
        position.ok().map(|index| &self.zones[index])
    }

    fn get(&mut self, name: &str) -> &mut Zone {
        let position = self.zones.binary_search_by(|zone| (*zone.name).cmp(name));
        let index = position.unwrap_or_else(|index| {
            let zone = Zone {
                name: name.into(),
                need: Average::default(),
                placed: Average::default(),
                sent: Average::default(),
                is_sending: false,
                offers_capacity: true,
                counts: Counts::default(),
            };
            self.zones.insert(index, zone);
            index
        });
        &mut self.zones[index]
    }
}

/// Priority of a request without the time to meet.
type Urgency = (u8, bool, bool);

/// A zone during one dispatch pass.
#[derive(Clone, Debug)]
struct Side {
    name: Box<str>,
    /// Requests of mean service time that are served in parallel.
    capacity: f64,
    slots: usize,
    free_slots: usize,
    /// Requests of other zones' callers that run in the zone.
    guests: usize,
    /// Expected remaining times of the running requests, in order.
    remaining_us: Vec<f64>,
    /// Requests of the zone's callers that were considered and wait.
    ahead: usize,
    /// Times to meet of the queued requests of the zone's callers by urgency, in order.
    queued: Vec<(Urgency, Vec<Instant>)>,
}

impl Side {
    fn wait_us(&self, ahead: usize, mean_us: f64) -> f64 {
        if let Some(&remaining_us) = self.remaining_us.get(ahead) {
            return remaining_us;
        }
        let last_us = self.remaining_us.last().copied().unwrap_or(0.0);
        let beyond = (ahead + 1 - self.remaining_us.len()) as f64;
        last_us + beyond * mean_us / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Returns how long the last of the zone's own requests that are at least as urgent waits if
    /// one of the free slots is taken.
    fn backlog_us(&self, urgency: Urgency, mean_us: f64) -> f64 {
        let queued = self.queued.iter().filter(|(other, _)| *other <= urgency);
        let count: usize = queued.map(|(_, dues)| dues.len()).sum();
        match (count + 1).checked_sub(self.free_slots) {
            None | Some(0) => 0.0,
            Some(excess) => self.wait_us(excess - 1, mean_us),
        }
    }

    /// Returns by how much the next of the zone's own requests of the same urgency has to be done
    /// later than by `due`.
    fn slack_after(&self, urgency: Urgency, due: Instant) -> Option<f64> {
        let (_, dues) = self.queued.iter().find(|(other, _)| *other == urgency)?;
        let next = dues.get(dues.partition_point(|&other| other <= due))?;
        Some(next.since(due).as_micros() as f64)
    }
}

/// The zones during one dispatch pass.
#[derive(Clone, Debug)]
pub struct Pass {
    /// Sorted by name.
    sides: Vec<Side>,
    mean_us: f64,
}

impl Pass {
    fn position(&self, name: &str) -> Option<usize> {
        let position = self.sides.binary_search_by(|side| (*side.name).cmp(name));
        position.ok()
    }

    fn record_placement(&mut self, waiter: &Waiter, zone: &str) {
        let from = &waiter.request.zone;
        let is_guest = **from != *zone;
        if let Some(index) = self.position(from) {
            let urgency = waiter.urgency();
            let mut queued = self.sides[index].queued.iter_mut();
            if let Some((_, dues)) = queued.find(|(other, _)| *other == urgency) {
                if let Ok(position) = dues.binary_search(&waiter.due()) {
                    dues.remove(position);
                }
            }
        }
        if let Some(index) = self.position(zone) {
            let side = &mut self.sides[index];
            side.free_slots = side.free_slots.saturating_sub(1);
            side.guests += usize::from(is_guest);
        }
    }

    fn record_wait(&mut self, zone: &str) {
        if let Some(index) = self.position(zone) {
            self.sides[index].ahead += 1;
        }
    }

    /// Decides whether a request without a free slot in its zone may leave it; returns `None` if
    /// no endpoint of its zone is in use.
    fn outlook(&self, waiter: &Waiter, mean_us: f64, now: Instant) -> Option<Outlook> {
        let side = &self.sides[self.position(&waiter.request.zone)?];
        if side.capacity <= 0.0 {
            return None;
        }
        Some(Outlook {
            wait_us: side.wait_us(side.ahead, self.mean_us),
            service_us: mean_us * side.slots as f64 / side.capacity,
            goal_us: waiter.goal.since(now).as_micros() as f64,
            crossing_us: crossing_us(waiter.request.bytes),
        })
    }

    /// Tells whether a zone accepts a request of another zone that waits there for `outlook`.
    fn accepts(
        &self,
        zones: &Zones,
        name: &str,
        waiter: &Waiter,
        outlook: &Outlook,
        now: Instant,
    ) -> bool {
        let Some(index) = self.position(name) else {
            return false;
        };
        let side = &self.sides[index];
        if side.free_slots == 0 {
            return false;
        }
        let urgency = waiter.urgency();
        let backlog_us = side.backlog_us(urgency, self.mean_us);
        let slack_us = side.slack_after(urgency, waiter.due());
        let has_later_callers = slack_us.is_some_and(|slack_us| slack_us > outlook.crossing_us);
        let verdict = match outlook.verdict() {
            // A late request has no goal left to meet, so that only the wait counts.
            Verdict::MustLeave
                if waiter.is_late
                    && outlook.wait_us <= outlook.crossing_us
                    && !has_later_callers =>
            {
                Verdict::Stay
            }
            verdict => verdict,
        };
        match verdict {
            Verdict::Stay => false,
            Verdict::MustLeave => has_later_callers || backlog_us + MIN_GAIN_US <= outlook.wait_us,
            Verdict::MayLeave => {
                let zone = zones.find(name);
                let need = zone.map_or(0.0, |zone| zone.need(now));
                let offers_capacity = zone.is_none_or(|zone| zone.offers_capacity);
                let spare = side.capacity - need - side.guests as f64;
                offers_capacity
                    && spare >= 1.0
                    && backlog_us + outlook.crossing_us <= outlook.wait_us
            }
        }
    }
}

impl Waiter {
    fn urgency(&self) -> Urgency {
        let (rank, is_late, is_first_visit, _) = self.priority();
        (rank, is_late, is_first_visit)
    }

    fn due(&self) -> Instant {
        self.priority().3
    }
}

impl Dispatcher {
    /// Sets whether pooled requests are kept in their zones.
    pub fn set_zone_affinity(&mut self, is_enabled: bool) {
        self.zones.is_enabled = is_enabled;
    }

    /// Returns the counters of each zone.
    pub fn zone_counts(&self) -> impl Iterator<Item = (&str, Counts)> {
        let zones = self.zones.zones.iter();
        zones.map(|zone| (&*zone.name, zone.counts))
    }

    /// Returns the zones that began or ended sending requests to others since the last call.
    pub fn take_zone_changes(&mut self, now: Instant) -> Vec<Change> {
        if self.zones.is_enabled {
            let capacities = self.zone_capacities(now);
            self.zones.update(&capacities, now);
        }
        std::mem::take(&mut self.zones.changes)
    }

    fn zone_capacities(&self, now: Instant) -> Vec<(Box<str>, f64)> {
        let mut capacities: Vec<(Box<str>, f64)> = Vec::new();
        for zone in &self.zones.zones {
            capacities.push((zone.name.clone(), 0.0));
        }
        for index in self.usable(now) {
            let endpoint = &self.endpoints[index];
            let position = capacities.binary_search_by(|(name, _)| name.cmp(&endpoint.zone));
            let index = position.unwrap_or_else(|index| {
                capacities.insert(index, (endpoint.zone.clone(), 0.0));
                index
            });
            capacities[index].1 += self.parallelism(endpoint, now);
        }
        capacities
    }

    /// Begins a dispatch pass if requests are kept in their zones.
    pub(super) fn begin_zone_pass(&mut self, now: Instant) -> Option<Pass> {
        if !self.zones.is_enabled || self.queue.iter().all(|waiter| waiter.request.key.is_some()) {
            return None;
        }
        let usable = self.usable(now);
        let has_room = |&index: &usize| {
            let endpoint = &self.endpoints[index];
            self.has_room(endpoint, endpoint.slots, now)
        };
        if !usable.iter().any(has_room) {
            return None;
        }
        let capacities = self.zone_capacities(now);
        self.zones.update(&capacities, now);
        let sides = capacities.into_iter().map(|(name, capacity)| Side {
            name,
            capacity,
            slots: 0,
            free_slots: 0,
            guests: 0,
            remaining_us: Vec::new(),
            ahead: 0,
            queued: Vec::new(),
        });
        let mut pass = Pass {
            sides: sides.collect(),
            mean_us: self.overall_mean_us(),
        };
        for index in usable {
            let endpoint = &self.endpoints[index];
            let Some(position) = pass.position(&endpoint.zone) else {
                continue;
            };
            let side = &mut pass.sides[position];
            let has_tokens = self.rate_wait_us(endpoint, 0, now) == 0.0;
            side.slots += endpoint.slots;
            if has_tokens {
                side.free_slots += endpoint.slots.saturating_sub(endpoint.permits.len());
            }
            let slowness = endpoint.effective_slowness(now);
            for permit in &endpoint.permits {
                side.guests += usize::from(permit.is_guest);
                if has_tokens {
                    let expected_us = self.mean_us(permit.class) * slowness;
                    let elapsed_us = now.since(permit.granted_at).as_micros() as f64;
                    // The end of one that takes longer than expected is not known.
                    let remaining_us = (expected_us - elapsed_us).max(expected_us * OVERDUE_SHARE);
                    side.remaining_us.push(remaining_us);
                }
            }
        }
        for side in &mut pass.sides {
            side.remaining_us.sort_unstable_by(f64::total_cmp);
        }
        for waiter in self
            .queue
            .iter()
            .filter(|waiter| waiter.request.key.is_none())
        {
            let Some(position) = pass.position(&waiter.request.zone) else {
                continue;
            };
            let queued = &mut pass.sides[position].queued;
            let urgency = waiter.urgency();
            match queued.iter_mut().find(|(other, _)| *other == urgency) {
                Some((_, dues)) => dues.push(waiter.due()),
                None => queued.push((urgency, vec![waiter.due()])),
            }
        }
        Some(pass)
    }

    /// Counts a request that was placed at an endpoint.
    pub(super) fn record_zone(
        &mut self,
        pass: &mut Option<Pass>,
        waiter: &Waiter,
        index: usize,
        now: Instant,
    ) {
        let Some(pass) = pass else {
            return;
        };
        if waiter.request.key.is_some() {
            return;
        }
        let request = &waiter.request;
        let zone = &self.endpoints[index].zone;
        pass.record_placement(waiter, zone);
        self.zones
            .record_placement(&request.zone, zone, request.bytes, now);
    }

    /// Tells whether a request has to wait for a slot of its zone, without looking at single
    /// endpoints.
    pub(super) fn must_wait_in_zone(
        &self,
        pass: &mut Option<Pass>,
        waiter: &Waiter,
        now: Instant,
    ) -> bool {
        let Some(pass) = pass else {
            return false;
        };
        let request = &waiter.request;
        let Some(own) = pass.position(&request.zone) else {
            return false;
        };
        if pass.sides[own].free_slots > 0 || !request.avoid.is_empty() {
            return false;
        }
        let mean_us = self.mean_us(request.class);
        let Some(outlook) = pass.outlook(waiter, mean_us, now) else {
            return false;
        };
        let accepts = |side: &Side| pass.accepts(&self.zones, &side.name, waiter, &outlook, now);
        let must_wait = !pass.sides.iter().any(accepts);
        pass.sides[own].ahead += usize::from(must_wait);
        must_wait
    }

    /// Removes from `free` the endpoints in zones where a request may not be placed.
    pub(super) fn restrict_to_zones(
        &self,
        pass: &mut Pass,
        waiter: &Waiter,
        (usable, free): (&[usize], &mut Vec<usize>),
        now: Instant,
    ) {
        let request = &waiter.request;
        let is_own = |index: &usize| self.endpoints[*index].zone == request.zone;
        let is_avoided = |index: &usize| request.avoid.contains(&self.endpoints[*index].id);
        let is_served = |index: &usize| is_own(index) && !is_avoided(index);
        let mean_us = self.mean_us(request.class);
        let Some(outlook) = pass.outlook(waiter, mean_us, now) else {
            return;
        };
        if !usable.iter().any(is_served) {
            return;
        }
        let service_us = |index: &usize| self.endpoints[*index].completion_us(mean_us, now);
        let own = free.iter().filter(|index| is_own(index));
        let Some(own_us) = own.map(service_us).min_by(f64::total_cmp) else {
            let accepts = |index: &usize| {
                let zone = &self.endpoints[*index].zone;
                pass.accepts(&self.zones, zone, waiter, &outlook, now)
            };
            free.retain(accepts);
            if free.is_empty() {
                pass.record_wait(&request.zone);
            }
            return;
        };
        let outlook = Outlook {
            wait_us: 0.0,
            service_us: own_us,
            ..outlook
        };
        let others = free.iter().filter(|index| !is_own(index));
        let others_us = others.map(service_us).min_by(f64::total_cmp);
        // A free slot elsewhere helps only if the request is done there sooner.
        let is_sooner = |others_us: f64| others_us + outlook.crossing_us < own_us;
        if outlook.verdict() == Verdict::Stay || !others_us.is_some_and(is_sooner) {
            free.retain(is_own);
        }
    }
}
