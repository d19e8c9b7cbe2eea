//! State of a control daemon, shared by its tasks.
//!
//! All tasks run on one thread. No borrow is held across an await.

use std::{cell, collections, rc};

use futures_channel::oneshot;
use wagtailshunt_core::{ledger, records, types};

use crate::{
    clock,
    control::{StartError, group, leader, links, metrics},
    disk, events, settings, transport,
};

/// State of one control process.
pub struct State {
    pub cfg: settings::Control,
    pub clock: clock::Clock,
    pub events: events::EventLog,
    pub incarnation: types::Incarnation,
    pub identity: rc::Rc<transport::Identity>,
    pub metrics: metrics::Metrics,
    pub links: links::Links,
    pub inner: cell::RefCell<Inner>,
    /// Whether the process is stopping.
    stopped: cell::Cell<bool>,
    /// Wakes the timer task, if it waits.
    wake: cell::RefCell<Option<oneshot::Sender<()>>>,
    /// Keeps the data folder locked for this process.
    _folder: disk::DataFolder,
}

/// The part of the state that tasks modify.
pub struct Inner {
    pub groups: collections::BTreeMap<types::GroupId, group::Group>,
    /// State of the leader of group 0; `None` on other VMs.
    pub leader: Option<leader::Leader>,
    /// Last token returned by [`Inner::new_token`].
    pub last_token: u64,
    /// Ledger requests of gateways that have no reply yet, by token.
    pub ledger_requests: collections::BTreeMap<u64, Requester>,
}

/// Origin of a ledger request, to which the reply is sent.
#[derive(Clone, Copy, Debug)]
pub struct Requester {
    pub vm: types::VmId,
    pub request: u64,
    pub group: types::GroupId,
    pub key: ledger::Key,
    pub holder: ledger::Holder,
}

impl State {
    /// Opens the data folder and recovers all groups.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the folder cannot be opened or a group cannot be recovered.
    pub fn open(
        cfg: settings::Control,
        clock: clock::Clock,
        events: events::EventLog,
        incarnation: types::Incarnation,
    ) -> Result<State, StartError> {
        let folder = disk::DataFolder::open(&cfg.data)?;
        let mut groups = collections::BTreeMap::new();
        for number in 0..=cfg.ledger_shards {
            let id = types::GroupId(number);
            let group = group::Group::open(&cfg, &folder, &events, clock.now(), id)?;
            groups.insert(id, group);
        }
        let identity = transport::Identity {
            cluster: cfg.cluster.clone(),
            vm: cfg.vm,
            incarnation,
            role: types::Role::Control,
            failure_domain: cfg.failure_domain.clone(),
            schema: records::SCHEMAS.iter().copied().max().unwrap_or_default(),
            key: cfg.keys.cluster.clone(),
            events: events.clone(),
        };
        Ok(State {
            cfg,
            clock,
            events,
            incarnation,
            identity: rc::Rc::new(identity),
            metrics: metrics::Metrics::new(),
            links: links::Links::default(),
            inner: cell::RefCell::new(Inner {
                groups,
                leader: None,
                last_token: 0,
                ledger_requests: collections::BTreeMap::new(),
            }),
            stopped: cell::Cell::new(false),
            wake: cell::RefCell::default(),
            _folder: folder,
        })
    }

    /// Runs `f` on the mutable state.
    pub fn with<R>(&self, f: impl FnOnce(&mut Inner) -> R) -> R {
        f(&mut self.inner.borrow_mut())
    }

    /// Returns whether this VM leads group 0 and has created the leader's state.
    pub fn is_leading(&self) -> bool {
        self.with(|inner| inner.leader.is_some())
    }

    /// Returns the leader of a group, if this VM knows one.
    pub fn leader_of(&self, group: types::GroupId) -> Option<types::VmId> {
        self.with(|inner| {
            inner
                .groups
                .get(&group)
                .and_then(|group| group.node.leader())
        })
    }

    /// Stops all tasks. Synced state is kept.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.links.stop();
        // Each disk task ends when its queue is closed, which releases the data folder.
        if let Ok(inner) = self.inner.try_borrow() {
            inner.groups.values().for_each(group::Group::close);
        }
        self.wake();
    }

    /// Returns whether [`State::stop`] has been called.
    pub fn stopped(&self) -> bool {
        self.stopped.get()
    }

    /// Makes the timer task recompute its next deadline.
    pub fn wake(&self) {
        if let Some(tx) = self.wake.borrow_mut().take() {
            // The receiver has been dropped if the timer task was just woken by its timer.
            let _ = tx.send(());
        }
    }

    /// Returns a future that completes at the next [`State::wake`].
    pub fn wake_signal(&self) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        *self.wake.borrow_mut() = Some(tx);
        rx
    }
}

impl Inner {
    /// Returns a token that is unique within this process.
    pub fn new_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }
}
