//! Shares of customers in the places for one priority under overload.
//!
//! The places are divided by max-min fairness over the customers' recent demand: a customer that
//! demands less than an equal share gets all that it demands, and the others share the rest equally.
//! [`crate::fair_queue`] orders calls that wait; here most refused requests do not wait at all.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::CustomerId;
use crate::relay::recent_rate::RecentRate;

/// Period over which the demand of a customer is averaged. An entry of a large fleet gets a request of
/// a small customer about once in this time.
const DEMAND_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of customers whose demand is known; that with the least demand is forgotten first.
const MAX_CUSTOMERS: usize = 256;

/// Recent demand of customers.
#[derive(Debug, Default)]
pub struct CustomerShares {
    demand: BTreeMap<CustomerId, RecentRate>,
}

impl CustomerShares {
    /// Records that a request of a customer has arrived.
    pub fn record(&mut self, customer: &str, now: Instant) {
        if let Some(rate) = self.demand.get_mut(customer) {
            rate.record(now);
            return;
        }
        if self.demand.len() >= MAX_CUSTOMERS {
            let rates = self.demand.iter();
            let least = rates.min_by(|(_, a), (_, b)| a.count(now).total_cmp(&b.count(now)));
            if let Some(customer) = least.map(|(customer, _)| customer.clone()) {
                self.demand.remove(&customer);
            }
        }
        let mut rate = RecentRate::new(DEMAND_PERIOD);
        rate.record(now);
        self.demand.insert(customer.to_owned(), rate);
    }

    /// Share of the requests of `customer` that is refused if `refused`, a share of all requests, are.
    #[must_use]
    pub fn refused_share(&self, customer: &str, refused: f64, now: Instant) -> f64 {
        let Some(own) = self.demand.get(customer).map(|rate| rate.count(now)) else {
            return refused;
        };
        let mut counts: Vec<f64> = self.demand.values().map(|rate| rate.count(now)).collect();
        counts.sort_by(f64::total_cmp);
        let mut places = counts.iter().sum::<f64>() * (1.0 - refused);
        let mut customers = counts.len();
        for count in counts {
            // Never more than the limit of customers.
            let equal = places / f64::from(u32::try_from(customers).unwrap_or(u32::MAX));
            if count >= equal {
                return if own > equal { 1.0 - equal / own } else { 0.0 };
            }
            places -= count;
            customers -= 1;
        }
        0.0
    }
}
