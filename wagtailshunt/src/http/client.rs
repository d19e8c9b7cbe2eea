//! Client connections to targets.

use std::{cell, io, net, rc, time};

use compio::net::TcpStream;
use hyper::{Request, Response, body::Incoming, client::conn::http1};

use crate::http::{self, io::Io};

/// Errors of a connection to a target.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
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

impl ClientError {
    /// Returns whether the target cannot have seen the call.
    pub fn proves_not_run(&self) -> bool {
        !matches!(self, ClientError::Broken(_))
    }
}

/// An open HTTP/1.1 connection to a target.
pub struct Client {
    sender: http1::SendRequest<http::Body>,
    ended: rc::Rc<cell::Cell<bool>>,
}

impl Client {
    /// Opens a connection. `on_end` is called when it ends.
    ///
    /// # Errors
    ///
    /// Errors that prove that nothing was sent.
    pub async fn connect(
        address: net::SocketAddr,
        timeout: time::Duration,
        on_end: impl FnOnce() + 'static,
    ) -> Result<Client, ClientError> {
        let connect = compio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connect
            .await
            .map_err(|_| ClientError::ConnectTimeout)?
            .map_err(ClientError::Connect)?;
        // Without it a small request waits for the acknowledgement of the previous segment.
        stream.set_nodelay(true).map_err(ClientError::Connect)?;
        let io = Io::new(stream);
        let (sender, conn) = http1::handshake(io).await.map_err(ClientError::Broken)?;
        let ended = rc::Rc::new(cell::Cell::new(false));
        let connection_ended = ended.clone();
        compio::runtime::spawn(async move {
            // The error reaches the call in flight through its answer or body.
            let _ = conn.await;
            connection_ended.set(true);
            on_end();
        })
        .detach();
        Ok(Client { sender, ended })
    }

    /// Returns whether the connection can carry a further call.
    ///
    /// hyper ends a connection on which bytes arrive while no call is in flight, so surplus and
    /// late bytes never become part of another answer.
    pub fn is_usable(&self) -> bool {
        !self.ended.get() && !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Waits until the previous call has left the connection.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.ended.get()
    }

    /// Sends a call and waits for the head of the answer.
    ///
    /// Dropping the future closes the connection, which cancels the call at the target.
    /// When nothing was sent, the body comes back with the error.
    pub async fn send(
        &mut self,
        req: Request<http::Body>,
    ) -> Result<Response<Incoming>, (ClientError, Option<http::Body>)> {
        if !self.is_usable() {
            return Err((ClientError::NotSent, Some(req.into_body())));
        }
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            // hyper hands the request back only when it wrote nothing of it.
            Err(mut err) => match err.take_message() {
                Some(req) => Err((ClientError::NotSent, Some(req.into_body()))),
                None => Err((ClientError::Broken(err.into_error()), None)),
            },
        }
    }
}
