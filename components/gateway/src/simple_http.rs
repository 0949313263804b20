//! Small answers over HTTP to those that run the gateway, or to other gateways.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time a head may take, which also bounds how long a connection rests.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Connections open at once.
const MAX_CONNECTIONS: usize = 128;

/// Answers every request on a listener until the runtime ends.
pub(crate) async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let handler = Rc::new(handler);
    // Each connection holds a clone while it is open.
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (handler, open) = (Rc::clone(&handler), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let answered = handler(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let mut builder = Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT);
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(open);
        });
    }
}

/// An answer with a body.
pub(crate) fn answer(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
