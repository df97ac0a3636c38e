//! Load-based placement of keys on endpoints.
//!
//! Request rates may be concentrated on ranges of adjacent keys or on single
//! hot keys, and change within seconds. The ordered key space is therefore
//! divided into slices, each with one owner. A rebalancing round moves parts
//! of slices from the endpoint with the highest load relative to its capacity
//! to the one with the lowest:
//!
//! - A move transfers only as much load as makes the two equal. Slices are
//!   split where the requests are, so a busy range ends up as many narrow
//!   slices and cold keys as wide ones.
//! - A key whose rate alone exceeds the capacity of its endpoint keeps that
//!   endpoint to itself, and all other keys move away. If another endpoint is
//!   considerably faster, the key moves there.
//! - An endpoint without keys gets some in the next round.
//! - When there are too many slices, cold ones are merged with a neighbor.

/// Number of keys of a service.
pub const KEY_COUNT: usize = 65_536;

/// Time constant of the exponentially decaying request rates that follow a change at once.
const RATE_TIME_CONSTANT_S: f64 = 1.5;

/// Time constant of the rates that are used otherwise. An owner of two slots gets some six
/// requests per second, so 1.5 s give its load only to within a quarter, and keys were moved
/// after that noise indefinitely.
const LASTING_TIME_CONSTANT_S: f64 = 8.0;

/// Time after which there are lasting rates.
const MIN_LASTING_S: f64 = 3.0;

/// Adjacent keys whose rate changes together.
const BLOCK_KEYS: usize = 256;

/// Number of standard deviations above which a difference is not taken for noise.
const NOISE_FACTOR: f64 = 3.0;

/// Weighted load below which an endpoint gives up no keys to balance the load.
const MIN_SOURCE_LOAD: f64 = 0.4;

/// Smallest difference in weighted load between two endpoints that justifies a move.
const MIN_LOAD_GAP: f64 = 0.17;

/// Smallest fraction of an endpoint's load at which its busiest slice is treated as a hot key.
const HOT_KEY_SHARE: f64 = 0.8;

/// Smallest ratio of capacities that justifies moving a hot key to a faster endpoint.
const MIN_SPEEDUP: f64 = 1.2;

/// Number of slices per endpoint above which cold slices are merged.
const MAX_SLICES_PER_ENDPOINT: usize = 12;

/// Smallest number of slices in the initial partition.
const MIN_INITIAL_SLICES: usize = 64;

/// Largest capacity that a typical endpoint is taken to have.
///
/// The weighted load of a slower endpoint is higher than its share of capacity
/// in use, and that of a faster one is lower.
const REFERENCE_CAPACITY_PER_S: f64 = 25.0;

/// Exponent of the ratio of typical to actual capacity in the weighted load.
const SLOWNESS_EXPONENT: f64 = 0.5;

/// Rate below which a slice is cold, as a fraction of the receiving endpoint's capacity.
const MAX_COLD_LOAD: f64 = 0.02;

/// Exponentially decaying request rate of each key.
///
/// The rate is an average over several seconds, except where the last requests, of a key or of
/// a block of keys, differ from it by more than noise.
#[derive(Clone, Debug)]
pub struct Rates {
    counts: Vec<f32>,
    lasting_counts: Vec<f32>,
    prefix_sums: Vec<f64>,
    elapsed_s: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            counts: vec![0.0; KEY_COUNT],
            lasting_counts: vec![0.0; KEY_COUNT],
            elapsed_s: 0.0,
            prefix_sums: vec![0.0; KEY_COUNT + 1],
        }
    }
}

impl Rates {
    /// Counts one request for a key.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key)] += 1.0;
        self.lasting_counts[usize::from(key)] += 1.0;
    }

    /// Decays all counts by `seconds` and recalculates the rates.
    pub fn decay(&mut self, seconds: f64) {
        self.elapsed_s += seconds;
        for (counts, time_constant_s) in [
            (&mut self.counts, RATE_TIME_CONSTANT_S),
            (&mut self.lasting_counts, LASTING_TIME_CONSTANT_S),
        ] {
            let factor = (-seconds / time_constant_s).exp() as f32;
            for count in counts {
                *count *= factor;
                if *count < 1e-3 {
                    *count = 0.0;
                }
            }
        }
        let mut sum = 0.0;
        for block in (0..KEY_COUNT).step_by(BLOCK_KEYS) {
            let keys = block..block + BLOCK_KEYS;
            let total = |counts: &[f32]| counts[keys.clone()].iter().sum::<f32>();
            let counts = (total(&self.counts), total(&self.lasting_counts));
            let is_block_changed = self.is_changed(counts);
            for key in keys.clone() {
                let counts = (self.counts[key], self.lasting_counts[key]);
                let rate = match is_block_changed || self.is_changed(counts) {
                    true => f64::from(counts.0) / RATE_TIME_CONSTANT_S,
                    false => f64::from(counts.1) / self.lasting_window_s(),
                };
                sum += rate;
                self.prefix_sums[key + 1] = sum;
            }
        }
    }

    /// Returns the time over which lasting counts are collected.
    fn lasting_window_s(&self) -> f64 {
        LASTING_TIME_CONSTANT_S * (1.0 - (-self.elapsed_s / LASTING_TIME_CONSTANT_S).exp())
    }

    /// Tells whether the latest requests differ from those of the last seconds by more than
    /// noise.
    fn is_changed(&self, (count, lasting_count): (f32, f32)) -> bool {
        if self.elapsed_s < MIN_LASTING_S {
            return true;
        }
        let expected = f64::from(lasting_count) * RATE_TIME_CONSTANT_S / self.lasting_window_s();
        let difference = (f64::from(count) - expected).abs();
        difference > NOISE_FACTOR * (expected + 1.0).sqrt().min(expected + 1.0)
    }

    /// Returns the standard deviation of the measured rate of keys that get `rate` requests per
    /// second, as far as it is known how much of it is noise.
    fn noise(&self, rate: f64) -> f64 {
        if self.elapsed_s < MIN_LASTING_S {
            return 0.0;
        }
        (rate.max(0.0) / (2.0 * LASTING_TIME_CONSTANT_S)).sqrt()
    }

    /// Returns the requests per second for the keys `from..=to`.
    pub fn rate(&self, from: u16, to: u16) -> f64 {
        self.prefix_sums[usize::from(to) + 1] - self.prefix_sums[usize::from(from)]
    }

    /// Returns the last key in `from..=to` such that the rate of all keys up to
    /// it is at most `rate`; `None` if the first key alone exceeds it.
    fn last_key_within(&self, from: u16, to: u16, rate: f64) -> Option<u16> {
        let base = self.prefix_sums[usize::from(from)];
        let sums_in_range = &self.prefix_sums[usize::from(from) + 1..=usize::from(to) + 1];
        let count = sums_in_range.partition_point(|sum| sum - base <= rate);
        (count > 0).then(|| from + (count - 1) as u16)
    }

    /// Returns the first key in `from..=to` such that the rate of all keys from
    /// it is at most `rate`; `None` if the last key alone exceeds it.
    fn first_key_within(&self, from: u16, to: u16, rate: f64) -> Option<u16> {
        let total = self.prefix_sums[usize::from(to) + 1];
        let sums_in_range = &self.prefix_sums[usize::from(from)..=usize::from(to)];
        let first = sums_in_range.partition_point(|sum| total - sum > rate);
        (first < sums_in_range.len()).then(|| from + first as u16)
    }
}

/// A range of adjacent keys with one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Owner, as an index into the list of endpoints.
    pub endpoint: usize,
    /// Whether the slice may be moved now.
    pub is_movable: bool,
}

/// An endpoint that owns keys or may receive some.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Requests per second that it can serve.
    pub capacity: f64,
    /// Whether it may receive keys.
    pub is_target: bool,
}

/// A range of keys that is to change its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// New owner, as an index into the list of endpoints.
    pub endpoint: usize,
}

/// Divides all keys among the targets in proportion to their capacity.
///
/// Each of a few targets gets several slices that are not adjacent, so that a
/// busy range is shared by several targets before its rate is known.
pub fn partition(endpoints: &[Endpoint]) -> Vec<Slice> {
    let targets = endpoints
        .iter()
        .filter(|endpoint| endpoint.is_target)
        .count();
    let passes = MIN_INITIAL_SLICES.div_ceil(targets.max(1));
    let total: f64 = endpoints.iter().map(Endpoint::target_capacity).sum();
    let width = KEY_COUNT as f64 / passes as f64;
    let mut slices = Vec::new();
    let mut start = 0;
    for pass in 0..passes {
        let mut sum = 0.0;
        for (index, endpoint) in endpoints.iter().enumerate() {
            sum += endpoint.target_capacity();
            let end = (width * (pass as f64 + sum / total)).round() as usize;
            if endpoint.is_target && end > start {
                slices.push(Slice {
                    from: start as u16,
                    to: (end - 1) as u16,
                    endpoint: index,
                    is_movable: true,
                });
                start = end;
            }
        }
    }
    slices
}

impl Endpoint {
    /// Returns the load as a fraction of capacity, weighted higher for slow endpoints.
    ///
    /// At the same fraction, requests wait longer at a slow endpoint.
    fn weighted_load(&self, rate: f64, reference: f64) -> f64 {
        let capacity = self.capacity.max(f64::MIN_POSITIVE);
        rate / capacity * (reference / capacity).powf(SLOWNESS_EXPONENT)
    }

    fn target_capacity(&self) -> f64 {
        if self.is_target {
            self.capacity
        } else {
            0.0
        }
    }
}

/// Returns the capacity of a typical endpoint.
fn reference_capacity(endpoints: &[Endpoint]) -> f64 {
    let targets = endpoints.iter().filter(|endpoint| endpoint.is_target);
    let count = targets.clone().count().max(1);
    let mean = targets.map(|endpoint| endpoint.capacity).sum::<f64>() / count as f64;
    mean.min(REFERENCE_CAPACITY_PER_S)
}

/// Returns the target with the lowest load after adding `rate` to it.
pub fn least_loaded(endpoints: &[Endpoint], loads: &[f64], rate: f64) -> Option<usize> {
    let targets = (0..endpoints.len()).filter(|&index| endpoints[index].is_target);
    let reference = reference_capacity(endpoints);
    targets.min_by(|&a, &b| {
        let load = |index: usize| endpoints[index].weighted_load(loads[index] + rate, reference);
        load(a).total_cmp(&load(b))
    })
}

/// Returns the requests per second for the keys of each endpoint.
pub fn loads(endpoints: &[Endpoint], slices: &[Slice], rates: &Rates) -> Vec<f64> {
    let mut loads = vec![0.0; endpoints.len()];
    for slice in slices {
        loads[slice.endpoint] += rates.rate(slice.from, slice.to);
    }
    loads
}

/// Plans the moves of one rebalancing round, at most `limit`.
pub fn plan_moves(
    endpoints: &[Endpoint],
    slices: &[Slice],
    rates: &Rates,
    limit: usize,
) -> Vec<Move> {
    let mut rebalancer = Rebalancer {
        endpoints,
        rates,
        slices: slices.to_vec(),
        loads: loads(endpoints, slices, rates),
        moves: Vec::new(),
        reference: reference_capacity(endpoints),
    };
    rebalancer.fill_empty_endpoints(limit);
    while rebalancer.moves.len() < limit && rebalancer.balance_pair() {}
    if rebalancer.moves.is_empty() {
        rebalancer.merge_coldest_slice();
    }
    rebalancer.moves
}

struct Rebalancer<'a> {
    endpoints: &'a [Endpoint],
    rates: &'a Rates,
    slices: Vec<Slice>,
    loads: Vec<f64>,
    moves: Vec<Move>,
    /// Capacity of a typical endpoint.
    reference: f64,
}

impl Rebalancer<'_> {
    fn load(&self, endpoint: usize) -> f64 {
        self.endpoints[endpoint].weighted_load(self.loads[endpoint], self.reference)
    }

    fn targets(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.endpoints.len()).filter(|&index| self.endpoints[index].is_target)
    }

    fn most_loaded(&self) -> Option<usize> {
        self.targets()
            .filter(|&index| self.has_movable(index))
            .max_by(|&a, &b| self.load(a).total_cmp(&self.load(b)))
    }

    fn has_movable(&self, endpoint: usize) -> bool {
        let mut slices = self.slices.iter();
        slices.any(|slice| slice.endpoint == endpoint && slice.is_movable)
    }

    /// Gives each endpoint without keys half of a slice of the most loaded endpoint.
    fn fill_empty_endpoints(&mut self, limit: usize) {
        let has_keys = |rebalancer: &Self, index: usize| {
            rebalancer
                .slices
                .iter()
                .any(|slice| slice.endpoint == index)
        };
        let empty: Vec<usize> = self
            .targets()
            .filter(|&index| !has_keys(self, index))
            .collect();
        for target in empty.into_iter().take(limit) {
            let Some(source) = self.most_loaded() else {
                return;
            };
            let widest = self
                .slices
                .iter()
                .filter(|slice| slice.endpoint == source && slice.is_movable)
                .max_by(|a, b| {
                    let weight = |slice: &Slice| {
                        let keys = f64::from(slice.to - slice.from) / KEY_COUNT as f64;
                        self.rates.rate(slice.from, slice.to) + keys
                    };
                    weight(a).total_cmp(&weight(b))
                });
            let Some(&slice) = widest.filter(|slice| slice.to > slice.from) else {
                return;
            };
            let half_rate = self.rates.rate(slice.from, slice.to) / 2.0;
            let middle = slice.from + (slice.to - slice.from) / 2;
            let from = match self
                .rates
                .first_key_within(slice.from + 1, slice.to, half_rate)
            {
                Some(from) if half_rate > 0.0 => from,
                _ => middle + 1,
            };
            self.move_keys(from, slice.to, target);
        }
    }

    /// Moves load from the most to the least loaded endpoint.
    ///
    /// Returns false if no move is worthwhile.
    fn balance_pair(&mut self) -> bool {
        let Some(source) = self.most_loaded() else {
            return false;
        };
        let Some(target) = least_loaded(self.endpoints, &self.loads, 0.0) else {
            return false;
        };
        let gap = self.load(source) - self.load(target);
        let noise = |index: usize| {
            let noise = self.rates.noise(self.loads[index]);
            self.endpoints[index].weighted_load(noise, self.reference)
        };
        // Requests of an overloaded endpoint are refused, so it gives up keys at once.
        let min_gap = match self.load(source) < 1.0 {
            true => MIN_LOAD_GAP.max(NOISE_FACTOR * noise(source).hypot(noise(target))),
            false => MIN_LOAD_GAP,
        };
        if source == target || self.load(source) < MIN_SOURCE_LOAD || gap < min_gap {
            return false;
        }
        // A move of this rate makes both loads equal.
        let load_per_rate = |index: usize| self.endpoints[index].weighted_load(1.0, self.reference);
        let wanted_rate = gap / (load_per_rate(source) + load_per_rate(target));
        match self.select_keys(source, wanted_rate) {
            Some((first, last)) => {
                self.move_keys(first, last, target);
                true
            }
            None => self.move_hot_key(source),
        }
    }

    /// Selects adjacent keys of `endpoint` with a rate of at most `wanted_rate`.
    fn select_keys(&self, endpoint: usize, wanted_rate: f64) -> Option<(u16, u16)> {
        let mut best: Option<(f64, u16, u16)> = None;
        let mut consider = |from: u16, to: u16| {
            let rate = self.rates.rate(from, to);
            if rate > 0.0 && best.is_none_or(|(best_rate, _, _)| rate > best_rate) {
                best = Some((rate, from, to));
            }
        };
        let slices = self.slices.iter();
        for slice in slices.filter(|slice| slice.endpoint == endpoint && slice.is_movable) {
            if let Some(to) = self
                .rates
                .last_key_within(slice.from, slice.to, wanted_rate)
            {
                consider(slice.from, to);
            }
            if let Some(from) = self
                .rates
                .first_key_within(slice.from, slice.to, wanted_rate)
            {
                consider(from, slice.to);
            }
        }
        // Less than a tenth of the wanted rate justifies another slice only if
        // the endpoint is overloaded.
        let (rate, from, to) = best?;
        let is_worthwhile = rate >= wanted_rate / 10.0 || self.load(endpoint) >= 1.0;
        is_worthwhile.then_some((from, to))
    }

    /// Moves a key that causes most of an overloaded endpoint's load to a faster endpoint.
    fn move_hot_key(&mut self, source: usize) -> bool {
        if self.load(source) < 1.0 {
            return false;
        }
        let slices = self.slices.iter();
        let hottest = slices
            .filter(|slice| slice.endpoint == source && slice.is_movable)
            .max_by(|a, b| {
                let rate = |slice: &Slice| self.rates.rate(slice.from, slice.to);
                rate(a).total_cmp(&rate(b))
            })
            .copied();
        let Some(slice) = hottest else { return false };
        if self.rates.rate(slice.from, slice.to) < self.loads[source] * HOT_KEY_SHARE {
            return false;
        }
        let min_capacity = self.endpoints[source].capacity * MIN_SPEEDUP;
        let faster = self.targets().filter(|&index| {
            self.endpoints[index].capacity >= min_capacity && self.load(index) < 1.0
        });
        let fastest = faster.max_by(|&a, &b| {
            let spare_capacity =
                |index: usize| self.endpoints[index].capacity - self.loads[index] / 2.0;
            spare_capacity(a).total_cmp(&spare_capacity(b))
        });
        let Some(target) = fastest else { return false };
        self.move_keys(slice.from, slice.to, target);
        true
    }

    /// Merges the coldest slice with a neighbor if there are too many slices.
    fn merge_coldest_slice(&mut self) {
        if self.slices.len() <= self.endpoints.len() * MAX_SLICES_PER_ENDPOINT {
            return;
        }
        let mut coldest: Option<(f64, Slice, usize)> = None;
        for pair in self.slices.windows(2) {
            for (slice, neighbor) in [(pair[0], pair[1]), (pair[1], pair[0])] {
                let rate = self.rates.rate(slice.from, slice.to);
                let target = &self.endpoints[neighbor.endpoint];
                let is_cold = rate < target.capacity * MAX_COLD_LOAD;
                let is_allowed = slice.is_movable && neighbor.is_movable && target.is_target;
                let is_coldest = coldest.is_none_or(|(lowest, _, _)| rate < lowest);
                if slice.endpoint != neighbor.endpoint && is_cold && is_allowed && is_coldest {
                    coldest = Some((rate, slice, neighbor.endpoint));
                }
            }
        }
        if let Some((_, slice, endpoint)) = coldest {
            self.move_keys(slice.from, slice.to, endpoint);
        }
    }

    fn move_keys(&mut self, from: u16, to: u16, endpoint: usize) {
        let rate = self.rates.rate(from, to);
        let index = self
            .slices
            .iter()
            .position(|slice| slice.from <= from && to <= slice.to);
        let Some(index) = index else { return };
        let slice = self.slices[index];
        self.loads[slice.endpoint] -= rate;
        self.loads[endpoint] += rate;
        let mut parts = Vec::new();
        if slice.from < from {
            parts.push(Slice {
                to: from - 1,
                ..slice
            });
        }
        parts.push(Slice {
            from,
            to,
            endpoint,
            is_movable: false,
        });
        if to < slice.to {
            parts.push(Slice {
                from: to + 1,
                ..slice
            });
        }
        self.slices.splice(index..=index, parts);
        self.moves.push(Move { from, to, endpoint });
    }
}
