//! Placement of keys by load.
//!
//! Answers busy areas of neighbouring keys, and single hot keys that change
//! within seconds. Keys are an ordered line cut into slices; each slice has an
//! owner. A round moves parts of slices from the endpoint that is loaded most,
//! measured by its own capacity, to the one loaded least:
//!
//! - Only as much moves as evens the two out, cut where the keys are busy, so
//!   that a busy area ends in many narrow slices and cold keys in wide ones.
//! - A key that alone exceeds its endpoint stays alone there; everything else
//!   moves away. If another endpoint is clearly faster, the key moves there.
//! - An endpoint without keys gets some at once.
//! - Above a number of slices, cold neighbours are joined again.

/// Keys of a service.
pub const KEYS: usize = 65_536;

/// Span over which requests are averaged, in seconds.
const HEAT_SPAN_S: f64 = 1.5;

/// Load below which an endpoint is left as it is, as a share of capacity.
const CALM_LOAD: f64 = 0.4;

/// Difference in load that is worth a move.
const GAP: f64 = 0.17;

/// Share of an endpoint's load from which one key is taken to be all of it.
const ALONE: f64 = 0.8;

/// How much faster an endpoint must be to take a hot key over.
const FASTER: f64 = 1.2;

/// Slices for each endpoint above which cold ones are joined.
const SLICES_PER_SERVER: usize = 12;

/// Slices into which all keys are cut at first, at least.
const FIRST_SLICES: usize = 64;

/// Capacity at which the felt load is the share of capacity, in requests a second.
const USUAL_CAPACITY: f64 = 25.0;

/// Exponent by which slowness is felt.
const SLOW_WEIGHT: f64 = 0.5;

/// Load of a cold slice, as a share of an endpoint's capacity.
const COLD: f64 = 0.02;

/// Requests for each key, decaying with time.
#[derive(Clone, Debug)]
pub struct Rates {
    counts: Vec<f32>,
    sums: Vec<f64>,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            counts: vec![0.0; KEYS],
            sums: vec![0.0; KEYS + 1],
        }
    }
}

impl Rates {
    /// Counts a request for a key.
    pub fn record(&mut self, key: u16) {
        self.counts[usize::from(key)] += 1.0;
    }

    /// Lets `seconds` pass and works the rates out anew.
    pub fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / HEAT_SPAN_S).exp() as f32;
        let mut sum = 0.0;
        for (index, count) in self.counts.iter_mut().enumerate() {
            *count *= factor;
            if *count < 1e-3 {
                *count = 0.0;
            }
            sum += f64::from(*count) / HEAT_SPAN_S;
            self.sums[index + 1] = sum;
        }
    }

    /// Returns the requests a second for the keys `from` to `to`, both included.
    pub fn rate(&self, from: u16, to: u16) -> f64 {
        self.sums[usize::from(to) + 1] - self.sums[usize::from(from)]
    }

    /// Returns the last key of `from..=to` up to which at most `rate` is asked
    /// for; `None` if the first key exceeds it.
    fn reach_up(&self, from: u16, to: u16, rate: f64) -> Option<u16> {
        let start = self.sums[usize::from(from)];
        let keys = &self.sums[usize::from(from) + 1..=usize::from(to) + 1];
        let count = keys.partition_point(|sum| sum - start <= rate);
        (count > 0).then(|| from + (count - 1) as u16)
    }

    /// The same from the end: the first key from which at most `rate` is asked for.
    fn reach_down(&self, from: u16, to: u16, rate: f64) -> Option<u16> {
        let end = self.sums[usize::from(to) + 1];
        let keys = &self.sums[usize::from(from)..=usize::from(to)];
        let first = keys.partition_point(|sum| end - sum > rate);
        (first < keys.len()).then(|| from + first as u16)
    }
}

/// Neighbouring keys of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Owner, by its place among the servers.
    pub server: usize,
    /// Whether it may be moved now.
    pub is_settled: bool,
}

/// An endpoint that owns keys or may get some.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    /// Requests that it can serve, a second.
    pub capacity: f64,
    /// Whether it may get keys.
    pub is_target: bool,
}

/// Keys that are to change hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// New owner, by its place among the servers.
    pub server: usize,
}

/// Cuts all keys into slices for the targets, in proportion to capacity.
///
/// With few targets each gets several slices that lie apart, so that a busy
/// area that is not known yet falls on more than one.
pub fn cut(servers: &[Server]) -> Vec<Slice> {
    let targets = servers.iter().filter(|server| server.is_target).count();
    let rounds = FIRST_SLICES.div_ceil(targets.max(1));
    let total: f64 = servers.iter().map(Server::share).sum();
    let width = KEYS as f64 / rounds as f64;
    let mut slices = Vec::new();
    let mut start = 0;
    for round in 0..rounds {
        let mut sum = 0.0;
        for (index, server) in servers.iter().enumerate() {
            sum += server.share();
            let end = (width * (round as f64 + sum / total)).round() as usize;
            if server.is_target && end > start {
                slices.push(Slice {
                    from: start as u16,
                    to: (end - 1) as u16,
                    server: index,
                    is_settled: true,
                });
                start = end;
            }
        }
    }
    slices
}

impl Server {
    /// Load as a share of capacity, weighed by how slow the endpoint is.
    ///
    /// At the same share a slow endpoint keeps its callers waiting longer.
    fn felt(&self, rate: f64) -> f64 {
        let capacity = self.capacity.max(f64::MIN_POSITIVE);
        rate / capacity * (USUAL_CAPACITY / capacity).powf(SLOW_WEIGHT)
    }

    fn share(&self) -> f64 {
        if self.is_target {
            self.capacity
        } else {
            0.0
        }
    }
}

/// Returns the target that would be loaded least by `rate` more.
pub fn least(servers: &[Server], loads: &[f64], rate: f64) -> Option<usize> {
    let targets = (0..servers.len()).filter(|&index| servers[index].is_target);
    targets.min_by(|&a, &b| {
        let load = |index: usize| servers[index].felt(loads[index] + rate);
        load(a).total_cmp(&load(b))
    })
}

/// Returns the requests a second that each server is asked for.
pub fn loads(servers: &[Server], slices: &[Slice], heat: &Rates) -> Vec<f64> {
    let mut loads = vec![0.0; servers.len()];
    for slice in slices {
        loads[slice.server] += heat.rate(slice.from, slice.to);
    }
    loads
}

/// Plans one round of at most `limit` moves.
pub fn round(servers: &[Server], slices: &[Slice], heat: &Rates, limit: usize) -> Vec<Move> {
    let mut round = Round {
        servers,
        heat,
        slices: slices.to_vec(),
        loads: loads(servers, slices, heat),
        moves: Vec::new(),
    };
    round.fill_empty(limit);
    while round.moves.len() < limit && round.even_out() {}
    if round.moves.is_empty() {
        round.join();
    }
    round.moves
}

struct Round<'a> {
    servers: &'a [Server],
    heat: &'a Rates,
    slices: Vec<Slice>,
    loads: Vec<f64>,
    moves: Vec<Move>,
}

impl Round<'_> {
    fn load(&self, server: usize) -> f64 {
        self.servers[server].felt(self.loads[server])
    }

    fn targets(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(|&index| self.servers[index].is_target)
    }

    fn most(&self) -> Option<usize> {
        self.targets()
            .filter(|&index| self.has_settled(index))
            .max_by(|&a, &b| self.load(a).total_cmp(&self.load(b)))
    }

    fn has_settled(&self, server: usize) -> bool {
        let mut own = self.slices.iter();
        own.any(|slice| slice.server == server && slice.is_settled)
    }

    /// Gives endpoints without keys an even part of those of the fullest.
    fn fill_empty(&mut self, limit: usize) {
        let has_keys =
            |round: &Self, index: usize| round.slices.iter().any(|slice| slice.server == index);
        let empty: Vec<usize> = self
            .targets()
            .filter(|&index| !has_keys(self, index))
            .collect();
        for target in empty.into_iter().take(limit) {
            let Some(source) = self.most() else { return };
            let widest = self
                .slices
                .iter()
                .filter(|slice| slice.server == source && slice.is_settled)
                .max_by(|a, b| {
                    let weight = |slice: &Slice| {
                        let keys = f64::from(slice.to - slice.from) / KEYS as f64;
                        self.heat.rate(slice.from, slice.to) + keys
                    };
                    weight(a).total_cmp(&weight(b))
                });
            let Some(&slice) = widest.filter(|slice| slice.to > slice.from) else {
                return;
            };
            let half = self.heat.rate(slice.from, slice.to) / 2.0;
            let middle = slice.from + (slice.to - slice.from) / 2;
            let from = match self.heat.reach_down(slice.from + 1, slice.to, half) {
                Some(from) if half > 0.0 => from,
                _ => middle + 1,
            };
            self.shift(from, slice.to, target);
        }
    }

    /// Moves load from the fullest to the emptiest endpoint; false if that is not worth it.
    fn even_out(&mut self) -> bool {
        let Some(source) = self.most() else {
            return false;
        };
        let Some(target) = least(self.servers, &self.loads, 0.0) else {
            return false;
        };
        let gap = self.load(source) - self.load(target);
        if source == target || self.load(source) < CALM_LOAD || gap < GAP {
            return false;
        }
        let (from, to) = (self.servers[source].capacity, self.servers[target].capacity);
        // After a move of this size both are loaded alike.
        let wanted = gap * from * to / (from + to);
        match self.part(source, wanted) {
            Some((first, last)) => {
                self.shift(first, last, target);
                true
            }
            None => self.move_hot_key(source),
        }
    }

    /// Finds neighbouring keys of `server` that are asked for about `wanted` times a second.
    fn part(&self, server: usize, wanted: f64) -> Option<(u16, u16)> {
        let mut best: Option<(f64, u16, u16)> = None;
        let mut offer = |from: u16, to: u16| {
            let rate = self.heat.rate(from, to);
            if rate > 0.0 && best.is_none_or(|(other, _, _)| rate > other) {
                best = Some((rate, from, to));
            }
        };
        let own = self.slices.iter();
        for slice in own.filter(|slice| slice.server == server && slice.is_settled) {
            if let Some(to) = self.heat.reach_up(slice.from, slice.to, wanted) {
                offer(slice.from, to);
            }
            if let Some(from) = self.heat.reach_down(slice.from, slice.to, wanted) {
                offer(from, slice.to);
            }
        }
        // Less than a tenth of what is wanted is worth a slice more only where
        // the endpoint cannot serve all.
        let (rate, from, to) = best?;
        let is_worth = rate >= wanted / 10.0 || self.load(server) >= 1.0;
        is_worth.then_some((from, to))
    }

    /// Moves a key that is nearly all of an overloaded endpoint's load to a faster one.
    fn move_hot_key(&mut self, source: usize) -> bool {
        if self.load(source) < 1.0 {
            return false;
        }
        let own = self.slices.iter();
        let hottest = own
            .filter(|slice| slice.server == source && slice.is_settled)
            .max_by(|a, b| {
                let rate = |slice: &Slice| self.heat.rate(slice.from, slice.to);
                rate(a).total_cmp(&rate(b))
            })
            .copied();
        let Some(slice) = hottest else { return false };
        if self.heat.rate(slice.from, slice.to) < self.loads[source] * ALONE {
            return false;
        }
        let wanted = self.servers[source].capacity * FASTER;
        let faster = self
            .targets()
            .filter(|&index| self.servers[index].capacity >= wanted && self.load(index) < 1.0);
        let fastest = faster.max_by(|&a, &b| {
            let capacity = |index: usize| self.servers[index].capacity - self.loads[index] / 2.0;
            capacity(a).total_cmp(&capacity(b))
        });
        let Some(target) = fastest else { return false };
        self.shift(slice.from, slice.to, target);
        true
    }

    /// Joins the coldest slice to a neighbour when there are too many.
    fn join(&mut self) {
        if self.slices.len() <= self.servers.len() * SLICES_PER_SERVER {
            return;
        }
        let mut coldest: Option<(f64, Slice, usize)> = None;
        for pair in self.slices.windows(2) {
            for (slice, other) in [(pair[0], pair[1]), (pair[1], pair[0])] {
                let rate = self.heat.rate(slice.from, slice.to);
                let target = &self.servers[other.server];
                let is_cold = rate < target.capacity * COLD;
                let is_allowed = slice.is_settled && other.is_settled && target.is_target;
                let is_best = coldest.is_none_or(|(best, _, _)| rate < best);
                if slice.server != other.server && is_cold && is_allowed && is_best {
                    coldest = Some((rate, slice, other.server));
                }
            }
        }
        if let Some((_, slice, server)) = coldest {
            self.shift(slice.from, slice.to, server);
        }
    }

    fn shift(&mut self, from: u16, to: u16, server: usize) {
        let rate = self.heat.rate(from, to);
        let place = self
            .slices
            .iter()
            .position(|slice| slice.from <= from && to <= slice.to);
        let Some(place) = place else { return };
        let old = self.slices[place];
        self.loads[old.server] -= rate;
        self.loads[server] += rate;
        let mut parts = Vec::new();
        if old.from < from {
            parts.push(Slice {
                to: from - 1,
                ..old
            });
        }
        parts.push(Slice {
            from,
            to,
            server,
            is_settled: false,
        });
        if to < old.to {
            parts.push(Slice {
                from: to + 1,
                ..old
            });
        }
        self.slices.splice(place..=place, parts);
        self.moves.push(Move { from, to, server });
    }
}
