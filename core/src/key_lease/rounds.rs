//! The leader's side: which requests one round of the quorum answers.

use std::collections;

use super::Request;
use crate::types;

/// How soon a round begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// At once: calls wait for it.
    Urgent,
    /// With the next heartbeat, so that renewals cost no round of their own. With 300 VMs, 600
    /// renewals per second would otherwise start a round each.
    Heartbeat,
}

/// A request that a round has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// VM that sent or forwarded the request.
    pub to: types::VmId,
    /// VM that needs the confirmation.
    pub asker: types::VmId,
    /// Number of the request.
    pub number: u64,
}

/// The latest request of each VM. It makes earlier ones of that VM unnecessary.
type Requests = collections::BTreeMap<types::VmId, Answer>;

#[derive(Debug, Default)]
struct Queue {
    waiting: Requests,
    /// Requests that the running round answers.
    running: Option<Requests>,
}

/// Requests at a leader. At most one round of each pace runs; requests that arrive meanwhile are
/// answered by the next one, because a round confirms nothing that happened after its start.
#[derive(Debug, Default)]
pub struct Rounds {
    urgent: Queue,
    heartbeat: Queue,
}

impl Rounds {
    fn queue(&mut self, pace: Pace) -> &mut Queue {
        match pace {
            Pace::Urgent => &mut self.urgent,
            Pace::Heartbeat => &mut self.heartbeat,
        }
    }

    /// Adds a request that arrived from VM `from`; returns the pace at which it is answered.
    pub fn add(&mut self, from: types::VmId, request: &Request) -> Pace {
        let pace = match request.urgent {
            true => Pace::Urgent,
            false => Pace::Heartbeat,
        };
        let answer = Answer {
            to: from,
            asker: request.asker,
            number: request.number,
        };
        self.queue(pace).waiting.insert(request.asker, answer);
        pace
    }

    /// Returns whether a round of this pace must be started now. It answers all requests that wait
    /// at this moment; an urgent one also answers renewals.
    pub fn start(&mut self, pace: Pace) -> bool {
        let queue = self.queue(pace);
        if queue.running.is_some() || queue.waiting.is_empty() {
            return false;
        }
        let mut requests = std::mem::take(&mut queue.waiting);
        if pace == Pace::Urgent {
            for (vm, renewal) in std::mem::take(&mut self.heartbeat.waiting) {
                requests.entry(vm).or_insert(renewal);
            }
        }
        self.queue(pace).running = Some(requests);
        true
    }

    /// Ends the running round after a quorum has confirmed it, and returns the answered requests.
    pub fn confirmed(&mut self, pace: Pace) -> Vec<Answer> {
        let answered = self.queue(pace).running.take();
        answered.map_or_else(Vec::new, |requests| requests.into_values().collect())
    }

    /// Ends the running round after this VM has lost the leadership or its quorum. The requests are
    /// dropped; the VMs send new ones.
    pub fn failed(&mut self, pace: Pace) {
        self.queue(pace).running = None;
    }
}
