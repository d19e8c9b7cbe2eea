//! Shutdown of a listener while callers connect.

use std::{cell, net, rc, time};

use compio::net::{TcpListener, TcpStream};
use wagtailshunt::http;

/// Guards against a listener that stays open, and with it a stop that never ends, because callers go
/// on connecting without a pause.
#[test]
fn listener_closes_while_callers_keep_connecting() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shutdown = http::Shutdown::default();
        let handler = |_, _: net::SocketAddr| async { http::plain(hyper::StatusCode::OK, "ok") };
        let serve = http::serve(listener, http::Limits::default(), shutdown.clone(), handler);
        let server = compio::runtime::spawn(serve);
        let stopped = rc::Rc::new(cell::Cell::new(false));
        for _ in 0..4 {
            let stopped = stopped.clone();
            compio::runtime::spawn(async move {
                while !stopped.get() {
                    // Refused once the listener is closed.
                    let _ = TcpStream::connect(address).await;
                    compio::time::sleep(time::Duration::from_micros(200)).await;
                }
            })
            .detach();
        }
        compio::time::sleep(time::Duration::from_millis(50)).await;
        shutdown.start();
        let ended = compio::time::timeout(time::Duration::from_secs(5), server).await;
        stopped.set(true);
        assert!(ended.is_ok(), "the listener stays open");
    });
}
