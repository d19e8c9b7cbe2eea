//! Connections to targets.

use std::{cell, io, rc, time};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::{Request, Response, body::Incoming, client::conn::http1};

use crate::{
    gateway::{isolation, service, state},
    http,
};

/// Errors of a connection to a target.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established; nothing was sent.
    #[error("connecting to the target failed: {0}")]
    Connect(io::Error),
    /// No connection was established in time; nothing was sent.
    #[error("connecting to the target timed out")]
    ConnectTimeout,
    /// The connection was closed before the first byte of the call was written.
    #[error("connection to the target was closed before the call was sent")]
    NotSent,
    /// The connection failed after the call may have been sent.
    #[error("connection to the target failed: {0}")]
    Broken(hyper::Error),
}

impl Error {
    /// Returns whether the target cannot have seen the call.
    pub fn proves_not_run(&self) -> bool {
        !matches!(self, Error::Broken(_))
    }
}

#[derive(Debug, Default)]
struct Ended {
    ended: cell::Cell<bool>,
}

/// An open HTTP/1.1 connection to a target.
pub struct Upstream {
    sender: http1::SendRequest<http::Body>,
    ended: rc::Rc<Ended>,
    /// Reports the life of the connection for the attribution of crashes.
    pub watch: rc::Rc<isolation::Watch>,
}

impl Upstream {
    /// Opens a connection.
    pub async fn connect(
        state: &rc::Rc<state::State>,
        target: &service::Target,
        limit: time::Duration,
    ) -> Result<Upstream, Error> {
        let connect = compio::time::timeout(limit, TcpStream::connect(target.address));
        let stream = connect
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        // Without it a small request waits for the acknowledgement of the previous segment.
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let io = HyperStream::new_plain(stream);
        let (sender, conn) = http1::handshake(io).await.map_err(Error::Broken)?;
        let ended = rc::Rc::new(Ended::default());
        let task = ended.clone();
        let watch = isolation::Watch::opened(state, &target.identity);
        let watched = rc::Rc::downgrade(&watch);
        compio::runtime::spawn(async move {
            // The error reaches the call in flight through its answer or body.
            let _ = conn.await;
            task.ended.set(true);
            if let Some(watch) = watched.upgrade() {
                watch.closed_by_target();
            }
        })
        .detach();
        Ok(Upstream {
            sender,
            ended,
            watch,
        })
    }

    /// Returns whether the connection can carry a further call.
    ///
    /// hyper ends a connection on which bytes arrive while no call is in flight, so surplus and
    /// late bytes never become part of another answer.
    pub fn is_usable(&self) -> bool {
        !self.ended.ended.get() && !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Waits until the previous call has left the connection.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.ended.ended.get()
    }

    /// Sends a call and waits for the head of the answer.
    ///
    /// Dropping the future closes the connection, which cancels the call at the target.
    /// When nothing was sent, the body comes back with the error.
    pub async fn send(
        &mut self,
        req: Request<http::Body>,
    ) -> Result<Response<Incoming>, (Error, Option<http::Body>)> {
        if !self.is_usable() {
            return Err((Error::NotSent, Some(req.into_body())));
        }
        match self.sender.try_send_request(req).await {
            Ok(answer) => Ok(answer),
            // hyper hands the request back only when it wrote nothing of it.
            Err(mut err) => match err.take_message() {
                Some(req) => Err((Error::NotSent, Some(req.into_body()))),
                None => Err((Error::Broken(err.into_error()), None)),
            },
        }
    }
}
