//! Connections to targets, watched for the attribution of crashes.

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
    /// Reports the life of the connection for the attribution of crashes.
    pub observer: rc::Rc<isolation::ConnectionObserver>,
}

impl Upstream {
    /// Opens a connection.
    pub async fn connect(
        state: &rc::Rc<state::State>,
        target: &service::Target,
        timeout: time::Duration,
    ) -> Result<Upstream, Error> {
        // The observer begins with the connection, so the end of the connection finds it here.
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

    /// Waits until the previous call has left the connection.
    pub async fn ready(&mut self) -> bool {
        self.client.ready().await
    }

    /// Sends a call and waits for the head of the answer. See [`http::Client::send`].
    pub async fn send(
        &mut self,
        req: Request<http::Body>,
    ) -> Result<Response<Incoming>, (Error, Option<http::Body>)> {
        self.client.send(req).await
    }
}
