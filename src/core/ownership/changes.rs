//! Planning of the changes of a table: new owners of keys, and moves that
//! balance the load.

use crate::core::{
    ownership::{
        Change,
        Owner,
        Phase,
        Planner, //
    },
    rebalance::{
        self,
        Rates,
        Slice, //
    },
    time::Instant,
};
use std::time::Duration;

/// Interval between rebalancing rounds.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(300);

/// Number of endpoints per additional move in a rebalancing round.
const ENDPOINTS_PER_MOVE: usize = 3;

/// Time for which rebalancing leaves a range alone after a change.
const MOVE_COOLDOWN: Duration = Duration::from_millis(700);

/// Time without a new endpoint after which the keys are first partitioned.
///
/// Endpoints that start together register one after the other, and the first
/// partition should include all of them.
const REGISTRY_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Assumed capacity of an endpoint that has not served any request yet.
const DEFAULT_CAPACITY_PER_S: f64 = 20.0;

impl Planner {
    pub(super) fn plan_changes(
        &mut self,
        rates: &Rates,
        capacity: &dyn Fn(&str) -> Option<f64>,
        now: Instant,
    ) {
        self.changes.clear();
        let endpoints = self.endpoints(capacity, now);
        if self.segments.iter().all(|segment| segment.owner.is_none()) {
            if now.since(self.last_join) < REGISTRY_SETTLE_TIME {
                return;
            }
            for slice in rebalance::partition(&endpoints) {
                let owner = self.sessions[slice.endpoint].owner();
                self.push_change(slice.from, slice.to, Some(owner), None);
            }
            return;
        }
        let mut loads = self.loads(rates);
        for index in 0..self.segments.len() {
            self.plan_segment_change(index, rates, &endpoints, &mut loads, now);
        }
        if self.changes.is_empty() && now >= self.next_rebalancing {
            self.next_rebalancing = now.after(REBALANCE_INTERVAL);
            self.plan_rebalancing(rates, &endpoints, now);
        }
    }

    pub(super) fn endpoints(
        &self,
        capacity: &dyn Fn(&str) -> Option<f64>,
        now: Instant,
    ) -> Vec<rebalance::Endpoint> {
        let endpoints = self.sessions.iter().map(|session| rebalance::Endpoint {
            capacity: capacity(&session.endpoint.id)
                .unwrap_or(DEFAULT_CAPACITY_PER_S)
                .max(0.1),
            is_target: session.is_listed
                && !session.endpoint.is_leaving
                && session.silent_since.is_none()
                && !session.is_silent(now),
        });
        endpoints.collect()
    }

    pub(super) fn loads(&self, rates: &Rates) -> Vec<f64> {
        let mut loads = vec![0.0; self.sessions.len()];
        for segment in &self.segments {
            let index = segment
                .owner
                .as_ref()
                .map(|owner| self.find_session(&owner.endpoint));
            if let Some(Ok(index)) = index {
                loads[index] += rates.rate(segment.from, segment.to);
            }
        }
        loads
    }

    /// Plans a new owner or a new fencing token for a segment that needs one.
    pub(super) fn plan_segment_change(
        &mut self,
        index: usize,
        rates: &Rates,
        endpoints: &[rebalance::Endpoint],
        loads: &mut [f64],
        now: Instant,
    ) {
        let segment = &self.segments[index];
        let (from, to) = (segment.from, segment.to);
        let rate = rates.rate(from, to);
        let mut choose_target = || {
            let target = rebalance::least_loaded(endpoints, loads, rate)?;
            loads[target] += rate;
            Some(target)
        };
        let Some(owner) = segment.owner.clone() else {
            if let Some(target) = choose_target() {
                let owner = self.sessions[target].owner();
                self.push_change(from, to, Some(owner), None);
            }
            return;
        };
        let Some(session) = self.session(&owner.endpoint) else {
            // This planner has never seen the owner, so it cannot send it a release.
            if now >= segment.lease_end {
                if let Some(target) = choose_target() {
                    let owner = self.sessions[target].owner();
                    self.push_change(from, to, Some(owner), None);
                }
            }
            return;
        };
        let is_revoking = matches!(segment.phase, Phase::Revoking { .. });
        if session.is_listed && session.endpoint.born != owner.born {
            // A restarted process that hands over its keys gets none of them first.
            if session.endpoint.is_leaving && !is_revoking {
                if let Some(target) = choose_target() {
                    let next = self.sessions[target].owner();
                    self.push_change(from, to, Some(next), Some(owner));
                    return;
                }
            }
            let owner = session.owner();
            let previous = self.previous_owner(index);
            self.push_change(from, to, Some(owner), previous);
            return;
        }
        let is_owner_lost = !session.is_listed || session.is_silent(now);
        let is_expired = now >= segment.lease_end && !session.is_order_pending;
        if is_owner_lost && is_expired && !is_revoking {
            if let Some(target) = choose_target() {
                let owner = self.sessions[target].owner();
                self.push_change(from, to, Some(owner), None);
            }
        } else if (session.endpoint.is_leaving || !session.is_listed)
            && !is_revoking
            && !session.is_silent(now)
        {
            if let Some(target) = choose_target() {
                let next = self.sessions[target].owner();
                self.push_change(from, to, Some(next), Some(owner));
            }
        } else if is_revoking && is_owner_lost && is_expired {
            // The next owner was lost before this planner granted it the keys. An
            // earlier planner may have granted them, so its lease has to expire too.
            if let Some(target) = choose_target() {
                let next = self.sessions[target].owner();
                let previous = self.previous_owner(index);
                self.push_change(from, to, Some(next), previous);
            }
        } else if session.needs_new_fence {
            let previous = self.previous_owner(index);
            self.push_change(from, to, Some(owner), previous);
        }
    }

    pub(super) fn previous_owner(&self, index: usize) -> Option<Owner> {
        match &self.segments[index].phase {
            Phase::Revoking { previous, .. } => Some(previous.clone()),
            _ => None,
        }
    }

    pub(super) fn plan_rebalancing(
        &mut self,
        rates: &Rates,
        endpoints: &[rebalance::Endpoint],
        now: Instant,
    ) {
        let slices: Vec<Slice> = self
            .segments
            .iter()
            .filter_map(|segment| {
                let owner = segment.owner.as_ref()?;
                Some(Slice {
                    from: segment.from,
                    to: segment.to,
                    endpoint: self.find_session(&owner.endpoint).ok()?,
                    is_movable: segment.phase == Phase::Held
                        && now.since(segment.changed_at) >= MOVE_COOLDOWN,
                })
            })
            .collect();
        let limit = endpoints.len() / ENDPOINTS_PER_MOVE + 1;
        for transfer in rebalance::plan_moves(endpoints, &slices, rates, limit) {
            let index = self
                .segments
                .partition_point(|segment| segment.to < transfer.from);
            let previous = self.segments[index].owner.clone();
            let owner = self.sessions[transfer.endpoint].owner();
            self.push_change(transfer.from, transfer.to, Some(owner), previous);
        }
    }

    pub(super) fn push_change(
        &mut self,
        from: u16,
        to: u16,
        owner: Option<Owner>,
        previous: Option<Owner>,
    ) {
        self.last_fence += 1;
        self.changes.push(Change {
            from,
            to,
            owner,
            previous,
            fence: self.last_fence,
        });
    }
}
