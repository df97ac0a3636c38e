//! Limits on what is taken in and what is tried again.
//!
//! A [`Budget`] lets retries be only a share of first tries, so that an
//! endpoint that refuses everything is not sent a multiple of its load.

/// Retry credit that one first try earns, in thousandths of a retry.
const EARNED: u32 = 100;

/// Retry credit that one retry costs, in thousandths of a retry.
const COST: u32 = 1000;

/// Most credit saved up, in thousandths of a retry.
const SAVED_MAX: u32 = 20 * COST;

/// Share of first tries that may be tried again.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    credit: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { credit: SAVED_MAX }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + EARNED).min(SAVED_MAX);
    }

    /// Takes the credit for one retry if there is enough.
    pub fn try_withdraw(&mut self) -> bool {
        if self.credit < COST {
            return false;
        }
        self.credit -= COST;
        true
    }
}
