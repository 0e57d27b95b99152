//! Reading the host list.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use carawayrun::http::{ServerOptions, bind, json};
use carawayrun::store::HostsClient;
use serde_json::json;

#[actix_rt::test]
async fn a_list_that_did_not_change_is_not_sent_again() {
    let sent = Arc::new(AtomicUsize::new(0));
    let options = ServerOptions {
        name: "hosts",
        addr: ([127, 0, 0, 1], 0).into(),
        workers: 1,
        drain: Duration::from_secs(1),
    };
    let counted = Arc::clone(&sent);
    let listener = bind(&options, move || {
        let sent = Arc::clone(&counted);
        move |request: Request| std::future::ready(list(&request, &sent))
    })
    .expect("a free port is there");
    let mut client = HostsClient::new(listener.addr());

    let first = client.list().await.expect("the list is read");
    let again = client.list().await.expect("the list is known");

    assert_eq!(first.len(), 1);
    assert_eq!(again, first);
    assert_eq!(sent.load(Ordering::Relaxed), 1);
    listener.stop(false).await;
}

fn list(request: &Request, sent: &AtomicUsize) -> Response<BoxBody> {
    let known = request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|etag| etag == "\"7\"") {
        return Response::with_body(StatusCode::NOT_MODIFIED, BoxBody::new(()));
    }
    sent.fetch_add(1, Ordering::Relaxed);
    let entry = json!({
        "name": "gw-1", "dataCentre": "a", "peerAddr": "127.0.0.1:1", "leaving": false,
    });
    let mut answer = json(StatusCode::OK, &[entry]);
    answer
        .headers_mut()
        .insert(header::ETAG, HeaderValue::from_static("\"7\""));
    answer
}
