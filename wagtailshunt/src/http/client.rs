//! HTTP/1.1 client connections to targets. Errors distinguish calls that were not sent from calls
//! that the target may have run.

use std::{cell, io, net, rc, time};

use compio::net::TcpStream;
use hyper::{Request, Response, body::Incoming, client::conn::http1};

use crate::http::{
    self,
    io::{Io, ReadLimit},
};

/// Largest number of bytes that a target may send before the head of its response is complete,
/// interim responses included. A target in trouble may send bytes without end.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Errors of a connection to a target.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be established; nothing was sent.
    #[error("connecting to the target failed: {0}")]
    Connect(io::Error),
    /// The connection was not established in time; nothing was sent.
    #[error("connecting to the target timed out")]
    ConnectTimeout,
    /// The connection was closed before the first byte of the call was written.
    #[error("connection to the target was closed before the call was sent")]
    NotSent,
    /// The connection failed after the call may have been sent.
    #[error("connection to the target failed: {0}")]
    Broken(hyper::Error),
    /// The head of the response is invalid. The target may have run the call.
    #[error("invalid response of the target: {0}")]
    InvalidHead(http::ResponseHeadError),
}

impl ClientError {
    /// Returns whether the error proves that the target did not receive the call.
    pub fn proves_not_run(&self) -> bool {
        !matches!(self, ClientError::Broken(_) | ClientError::InvalidHead(_))
    }
}

/// An open HTTP/1.1 connection to a target.
pub struct Client {
    sender: http1::SendRequest<http::Body>,
    ended: rc::Rc<cell::Cell<bool>>,
    read_limit: ReadLimit,
}

impl Client {
    /// Opens a connection. `on_end` is called when the connection ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is not established within `timeout` or the HTTP handshake
    /// fails. No call was sent then.
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
        // With Nagle's algorithm, a small request waits for the acknowledgement of the previous
        // segment.
        stream.set_nodelay(true).map_err(ClientError::Connect)?;
        let read_limit = ReadLimit::default();
        let io = Io::client(stream, read_limit.clone());
        let (sender, conn) = http1::handshake(io).await.map_err(ClientError::Broken)?;
        let ended = rc::Rc::new(cell::Cell::new(false));
        let connection_ended = ended.clone();
        compio::runtime::spawn(async move {
            // The call in flight gets the error from its response or body.
            let _ = conn.await;
            connection_ended.set(true);
            on_end();
        })
        .detach();
        Ok(Client {
            sender,
            ended,
            read_limit,
        })
    }

    /// Returns whether the connection can carry a further call.
    ///
    /// hyper closes a connection on which bytes arrive while no call is in flight, so surplus and
    /// late bytes never become part of another response.
    pub fn is_usable(&self) -> bool {
        !self.ended.get() && !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Waits until the connection can carry the next call; returns whether it can.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok() && !self.ended.get()
    }

    /// Sends a call and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, which cancels the call at the target.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was closed or failed, with the body if nothing was sent, or
    /// if the head of the response is invalid. The connection must not be used again then.
    pub async fn send(
        &mut self,
        req: Request<http::Body>,
    ) -> Result<Response<Incoming>, (ClientError, Option<http::Body>)> {
        if !self.is_usable() {
            return Err((ClientError::NotSent, Some(req.into_body())));
        }
        self.read_limit.set(Some(MAX_HEAD_BYTES));
        let response = self.sender.try_send_request(req).await;
        self.read_limit.set(None);
        match response {
            Ok(response) => match http::check_response_head(&response) {
                Ok(()) => Ok(response),
                Err(err) => Err((ClientError::InvalidHead(err), None)),
            },
            // hyper returns the request only if it wrote nothing of it.
            Err(mut err) => match err.take_message() {
                Some(req) => Err((ClientError::NotSent, Some(req.into_body()))),
                None => Err((ClientError::Broken(err.into_error()), None)),
            },
        }
    }
}
