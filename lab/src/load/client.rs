//! HTTP/1.1 client connections, used by the load generator, targets and operators.

use std::{io, net};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};

/// Errors of a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed or the response was incomplete.
    #[error("call failed: {0}")]
    Call(#[from] hyper::Error),
}

/// Returns a request body with the given bytes.
pub fn body(bytes: Bytes) -> Full<Bytes> {
    Full::new(bytes)
}

/// An open connection, which carries one call at a time.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the HTTP handshake fails.
    pub async fn open(address: net::SocketAddr) -> Result<Connection, Error> {
        let stream = TcpStream::connect(address).await?;
        // With Nagle's algorithm, a small request would wait for the previous segment to be
        // acknowledged.
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream)).await?;
        compio::runtime::spawn(async move {
            // The call in flight returns the error.
            let _: Result<(), hyper::Error> = connection.await;
        })
        .detach();
        Ok(Connection { sender })
    }

    /// Returns whether the connection can carry a further call.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is incomplete.
    pub async fn call(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Error> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}
