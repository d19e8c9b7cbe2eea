//! Incoming connections from other processes of the cluster.

use std::{io, rc};

use compio::net::{TcpListener, TcpStream};
use futures_util::{FutureExt, pin_mut, select_biased};
use wagtailshunt_core::event;
use wagtailshunt_wire::generated::envelope;

use crate::{
    http,
    transport::{Error, Handle, Identity, Peer, connection},
};

/// Accepts connections until the shutdown starts.
///
/// `on_open` is called for each accepted peer, before any of its frames.
///
/// # Errors
///
/// The I/O error of the listener if it cannot accept connections.
pub async fn listen(
    identity: rc::Rc<Identity>,
    listener: TcpListener,
    shutdown: http::Shutdown,
    on_open: impl Fn(&Peer, Handle) + Clone + 'static,
    on_frame: impl Fn(&Peer, envelope::Envelope) + Clone + 'static,
) -> io::Result<()> {
    loop {
        let stop = shutdown.wait().fuse();
        let accept = listener.accept().fuse();
        pin_mut!(stop, accept);
        let (stream, addr) = select_biased! {
            () = stop => return Ok(()),
            accepted = accept => accepted?,
        };
        let identity = identity.clone();
        let on_open = on_open.clone();
        let on_frame = on_frame.clone();
        compio::runtime::spawn(async move {
            let err = handle_connection(&identity, &stream, &on_open, &on_frame).await;
            if let Error::Refused(_) | Error::Codec(_) = err {
                identity.events.emit(
                    event::Id::PeerRefused,
                    &[("address", &addr), ("reason", &err)],
                );
            }
        })
        .detach();
    }
}

async fn handle_connection(
    identity: &Identity,
    stream: &TcpStream,
    on_open: &dyn Fn(&Peer, Handle),
    on_frame: &dyn Fn(&Peer, envelope::Envelope),
) -> Error {
    let mut reader = connection::Reader::new(stream);
    let peer = match reader.next().await.and_then(|first| identity.admit(&first)) {
        Ok(peer) => peer,
        Err(err) => return err,
    };
    // Nagle's algorithm would delay small frames until the previous segment is acknowledged.
    if let Err(err) = stream.set_nodelay(true) {
        return err.into();
    }
    if let Err(err) = connection::write_envelope(stream, &identity.hello()).await {
        return err;
    }
    let (handle, queue) = connection::send_queue();
    on_open(&peer, handle);
    connection::run(identity, stream, &peer, reader, queue, on_frame).await
}
