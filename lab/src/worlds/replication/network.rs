//! Fake network: delay, loss, duplication, reordering and cuts in one direction.

use std::{collections, time};

use rand::{Rng, rngs};
use wagtailshunt_core::types::VmId;

/// Longest extra delay of a message that is overtaken by others.
const REORDER_DELAY: time::Duration = time::Duration::from_millis(80);

/// Properties of the network between the nodes.
#[derive(Clone, Debug)]
pub(super) struct Network {
    /// Shortest time of a message on the way.
    pub(super) latency: time::Duration,
    /// Largest addition to `latency`.
    pub(super) jitter: time::Duration,
    /// Probability that a message is lost.
    pub(super) loss: f64,
    /// Probability that a message arrives twice.
    pub(super) duplicate: f64,
    /// Probability that a message is overtaken by later ones.
    pub(super) reorder: f64,
    /// Links that lose every message, by sender and receiver.
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
    /// Returns the delays after which copies of a message arrive.
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

    /// Returns whether a message or its answer is lost for certain.
    pub(super) fn is_impaired(&self, from: VmId, to: VmId) -> bool {
        self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    /// Cuts or heals all links of a VM, in both directions.
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
