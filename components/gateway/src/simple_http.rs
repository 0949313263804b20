//! Small HTTP server for readiness, metrics and requests of other gateways.

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

/// Delay after a failed accept.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum time to receive a request head, which also bounds how long a connection is idle.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 128;

/// Answers every request on a listener until the runtime ends.
pub(crate) async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let handler = Rc::new(handler);
    // Each open connection holds a clone.
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

/// A response with a body.
pub(crate) fn answer(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
