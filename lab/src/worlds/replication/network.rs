//! Fake network with delay, loss, duplication, reordering and one-way cuts, drawn from the seed.

use std::{collections, time};

use rand::{Rng, rngs};
use wagtailshunt_core::types::VmId;

/// Longest additional delay of a reordered message.
const REORDER_DELAY: time::Duration = time::Duration::from_millis(80);

/// Properties of the network between the nodes.
#[derive(Clone, Debug)]
pub(super) struct Network {
    /// Shortest delay of a message.
    pub(super) latency: time::Duration,
    /// Largest random delay added to `latency`.
    pub(super) jitter: time::Duration,
    /// Probability that a message is lost.
    pub(super) loss: f64,
    /// Probability that a message arrives twice.
    pub(super) duplicate: f64,
    /// Probability that a message gets an additional delay, so that later ones can overtake it.
    pub(super) reorder: f64,
    /// Cut links, as sender and receiver; they lose every message.
    pub(super) cuts: collections::BTreeSet<(VmId, VmId)>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            latency: time::Duration::from_micros(500),
            jitter: time::Duration::from_micros(500),
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            cuts: collections::BTreeSet::new(),
        }
    }
}

impl Network {
    /// Returns the delay of each copy of a message that arrives; none if it is lost.
    pub(super) fn route(
        &self,
        rng: &mut rngs::SmallRng,
        from: VmId,
        to: VmId,
    ) -> Vec<time::Duration> {
        if self.cuts.contains(&(from, to)) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.random_bool(self.duplicate));
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            let mut delay = self.latency + self.jitter.mul_f64(rng.random());
            if rng.random_bool(self.reorder) {
                delay += REORDER_DELAY.mul_f64(rng.random());
            }
            delays.push(delay);
        }
        delays
    }

    /// Returns whether the link is cut in either direction.
    pub(super) fn is_impaired(&self, from: VmId, to: VmId) -> bool {
        self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    /// Cuts or restores all links of a VM in both directions.
    pub(super) fn isolate(&mut self, vm: VmId, others: impl Iterator<Item = VmId>, cut: bool) {
        for other in others.filter(|other| *other != vm) {
            for link in [(vm, other), (other, vm)] {
                if cut {
                    self.cuts.insert(link);
                } else {
                    self.cuts.remove(&link);
                }
            }
        }
    }
}
