//! Retry budget of a service.
//!
//! Each first try earns credit and each retry costs credit, so retries stay a share
//! of first tries. An endpoint that refuses all requests is not sent a multiple of
//! its load.

/// Credit earned by a first try, in thousandths of a retry.
const DEPOSIT_THOUSANDTHS: u32 = 100;

/// Credit spent by a retry, in thousandths of a retry.
const COST_THOUSANDTHS: u32 = 1000;

/// Maximum credit, in thousandths of a retry; also the initial credit.
const MAX_CREDIT_THOUSANDTHS: u32 = 20 * COST_THOUSANDTHS;

/// Credit for retries, earned by first tries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    credit_thousandths: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            credit_thousandths: MAX_CREDIT_THOUSANDTHS,
        }
    }
}

impl Budget {
    /// Adds the credit of a first try.
    pub fn deposit(&mut self) {
        self.credit_thousandths =
            (self.credit_thousandths + DEPOSIT_THOUSANDTHS).min(MAX_CREDIT_THOUSANDTHS);
    }

    /// Withdraws the credit for a retry and returns `true` if there is enough.
    pub fn try_withdraw(&mut self) -> bool {
        if self.credit_thousandths < COST_THOUSANDTHS {
            return false;
        }
        self.credit_thousandths -= COST_THOUSANDTHS;
        true
    }
}
