//! Tests of the store client's errors.

use axum::Router;
use axum::routing::get;

use super::{RULES_KEY, StoreClient, StoreError};

async fn client_of_store_that_answers(body: &'static str) -> StoreClient {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let router = Router::new().route("/v1/kv/{*key}", get(move || async move { body }));
    tokio::spawn(async move { axum::serve(listener, router).await });
    StoreClient::new(&format!("http://{address}"), None).expect("the address is valid")
}

#[tokio::test]
async fn undecodable_reply_is_told_from_a_store_that_does_not_answer() {
    let client = client_of_store_that_answers("not json").await;
    let error = client.read(RULES_KEY).await.expect_err("the reply is no list of values");
    assert!(matches!(error, StoreError::InvalidReply(_)), "{error}");
    let silent = StoreClient::new("http://127.0.0.1:1", None).expect("the address is valid");
    let error = silent.read(RULES_KEY).await.expect_err("nothing listens there");
    assert!(matches!(error, StoreError::Unreachable(_)), "{error}");
}
