//! Keys that stand-ins for endpoints hold, and the check that no two hold the same ones.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

pub const KEYS: usize = 65_536;

/// What one endpoint holds.
pub struct Holder {
    pub id: String,
    keys: Mutex<Vec<Key>>,
}

#[derive(Clone, Copy)]
struct Key {
    fence: u64,
    until: Option<Instant>,
}

impl Holder {
    pub fn new(id: &str) -> Self {
        let key = Key {
            fence: 0,
            until: None,
        };
        Self {
            id: id.into(),
            keys: Mutex::new(vec![key; KEYS]),
        }
    }

    /// Grants keys from `arrived` on; returns whether no higher fence was seen on them.
    pub fn grant(
        &self,
        from: usize,
        to: usize,
        fence: u64,
        hold: Duration,
        arrived: Instant,
    ) -> bool {
        let mut keys = self.keys.lock().unwrap();
        let keys = &mut keys[from..=to];
        if keys.iter().any(|key| key.fence > fence) {
            return false;
        }
        keys.fill(Key {
            fence,
            until: Some(arrived + hold),
        });
        true
    }

    /// Stops work on keys. A higher fence that a release names was seen.
    pub fn release(&self, from: usize, to: usize, fence: u64) {
        let mut keys = self.keys.lock().unwrap();
        for key in &mut keys[from..=to] {
            key.until = None;
            key.fence = key.fence.max(fence);
        }
    }

    pub fn holds(&self, key: usize) -> bool {
        let now = Instant::now();
        self.keys.lock().unwrap()[key]
            .until
            .is_some_and(|until| until > now)
    }

    fn held(&self) -> Vec<Option<u64>> {
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        let held = keys
            .iter()
            .map(|key| key.until.filter(|until| *until > now).map(|_| key.fence));
        held.collect()
    }
}

/// A key that two endpoints hold.
pub struct Overlap {
    pub key: usize,
    pub holders: [(String, u64); 2],
    pub count: usize,
}

/// Returns the first key that two endpoints hold at this moment, and the number of such keys.
pub fn overlap(holders: &[std::sync::Arc<Holder>]) -> Option<Overlap> {
    let held: Vec<_> = holders.iter().map(|holder| holder.held()).collect();
    let mut found: Option<Overlap> = None;
    for key in 0..KEYS {
        let mut owners = (0..held.len()).filter_map(|index| Some((index, held[index][key]?)));
        if let (Some(first), Some(second)) = (owners.next(), owners.next()) {
            let holder = |(index, fence): (usize, u64)| (holders[index].id.clone(), fence);
            let overlap = found.get_or_insert_with(|| Overlap {
                key,
                holders: [holder(first), holder(second)],
                count: 0,
            });
            overlap.count += 1;
        }
    }
    found
}
