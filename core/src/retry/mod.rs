//! Retry and hedging decisions and their budgets.
