//! Evacuation of availability zones.
//!
//! An operator asks for a zone's endpoints to get no more requests, until the
//! request is withdrawn. [`Zones`] holds which zones are evacuated, as one VM
//! knows it, and until when endpoints of such a zone may still get requests:
//!
//! - A dispatcher gives no permits for endpoints of a pool in an evacuated zone.
//! - Owners of keys hand them over and may get requests until the zone closes, so
//!   that most keys stay available while they move. The same applies to permits
//!   that were given before.
//! - After a zone has closed, no VM sends a request to it.
//!
//! Designed for 75 VMs in three zones that each hold about a third of the 215
//! endpoints, at about 1,000 requests per second, of which more than half belong
//! to keyed services with 95 owners. A zone is evacuated within 5 s, which has to
//! include the time in which the VMs learn of it.

use crate::core::time::Instant;
use std::time::Duration;

/// Part of the bound after which a zone closes, counted from when the VM learned of the
/// evacuation.
///
/// VMs learn of it within 1.3 s if relays are lost, and a request is in transit for up to 0.5 s.
const CLOSING_FRACTION: f64 = 0.4;

/// Part of the bound after which a zone closes, counted from when the VM last knew that the zone
/// was not evacuated. Applies to a VM that learned of the evacuation late.
const MAX_AGE_FRACTION: f64 = 0.7;

/// Part of the bound after which a watch of evacuations must have returned.
const WATCH_FRACTION: f64 = 0.2;

/// Returns how long a watch of evacuations may wait, given the bound.
pub fn watch_timeout(bound: Duration) -> Duration {
    bound.mul_f64(WATCH_FRACTION)
}

/// An evacuated zone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Zone {
    name: Box<str>,
    closes_at: Instant,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    /// Sorted by name.
    zones: Vec<Zone>,
}

impl Zones {
    /// Returns the evacuated zones after an update: those in `names`.
    ///
    /// `bound` is the time after which no request may reach an evacuated zone. `known_at` is when
    /// the zones known so far were last known to be complete; zero if they never were.
    pub fn update<'a>(
        &self,
        names: impl Iterator<Item = &'a str>,
        bound: Duration,
        known_at: Instant,
        now: Instant,
    ) -> Self {
        let first_closing = now.after(bound.mul_f64(CLOSING_FRACTION));
        let latest_closing = known_at.after(bound.mul_f64(MAX_AGE_FRACTION));
        let zones = names.map(|name| Zone {
            name: name.into(),
            closes_at: match self.get(name) {
                Some(known) => known.closes_at,
                None => first_closing.min(latest_closing),
            },
        });
        let mut zones: Vec<Zone> = zones.collect();
        zones.sort_by(|a, b| a.name.cmp(&b.name));
        Self { zones }
    }

    fn get(&self, zone: &str) -> Option<&Zone> {
        let position = self.zones.binary_search_by(|known| (*known.name).cmp(zone));
        position.ok().map(|index| &self.zones[index])
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.get(zone).is_some()
    }

    /// Returns whether the endpoints of a zone get no requests at all.
    pub fn is_closed(&self, zone: &str, now: Instant) -> bool {
        self.get(zone).is_some_and(|zone| now >= zone.closes_at)
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the evacuated zones that are not among `others`.
    pub fn missing_in<'a>(&'a self, others: &'a Self) -> impl Iterator<Item = &'a str> {
        let names = self.zones.iter().map(|zone| &*zone.name);
        names.filter(|name| !others.contains(name))
    }
}
