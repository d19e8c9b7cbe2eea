//! Connections to targets, observed so that crashes of targets can be attributed to requests.

use std::{cell, rc, time};

use hyper::{Request, Response, body::Incoming};

pub use crate::http::ClientError as Error;
use crate::{
    gateway::{isolation, service, state},
    http,
};

/// An open HTTP/1.1 connection to a target.
pub struct Upstream {
    client: http::Client,
    /// Reports events of the connection to crash containment.
    pub observer: rc::Rc<isolation::ConnectionObserver>,
}

impl Upstream {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `timeout`.
    pub async fn connect(
        state: &rc::Rc<state::State>,
        target: &service::Target,
        timeout: time::Duration,
    ) -> Result<Upstream, Error> {
        // The observer is created after the connection; the callback finds it through this slot.
        let slot: rc::Rc<cell::RefCell<rc::Weak<isolation::ConnectionObserver>>> =
            rc::Rc::default();
        let on_end_slot = slot.clone();
        let client = http::Client::connect(target.address, timeout, move || {
            if let Some(observer) = on_end_slot.borrow().upgrade() {
                observer.closed_by_target();
            }
        })
        .await?;
        let observer = isolation::ConnectionObserver::opened(state, &target.identity);
        *slot.borrow_mut() = rc::Rc::downgrade(&observer);
        Ok(Upstream { client, observer })
    }

    /// Returns whether the connection can carry a further call.
    pub fn is_usable(&self) -> bool {
        self.client.is_usable()
    }

    /// Waits until the connection can carry the next call; returns whether it can.
    pub async fn ready(&mut self) -> bool {
        self.client.ready().await
    }

    /// Sends a call and waits for the head of the response. See [`http::Client::send`].
    pub async fn send(
        &mut self,
        req: Request<http::Body>,
    ) -> Result<Response<Incoming>, (Error, Option<http::Body>)> {
        self.client.send(req).await
    }
}
