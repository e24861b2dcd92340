//! The retry budget of an instance, which keeps retries from amplifying an overload.

/// Retries that each incoming request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Maximum balance of the budget, which is also the initial balance.
const MAX_BALANCE: f64 = 100.0;

/// A budget of retries that grows with the number of incoming requests.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    pub fn full() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }

    /// Adds [`RETRIES_PER_REQUEST`] to the budget, for one incoming request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns `false` if the balance is less than one retry.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
