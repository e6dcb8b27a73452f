//! HTTP helpers that the fakes and their clients share.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_platform::{body_bytes, call};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use viz::{Body, Response, ResponseExt, Router};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 16 << 20;
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves a router on `address` and prints `listening <address>` for the parent process.
pub async fn serve(address: SocketAddr, router: Router) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await.with_context(|| format!("bind {address}"))?;
    println!("listening {}", listener.local_addr().context("local address")?);
    viz::serve(listener, router).await.context("serve")
}

/// Sends one request with headers and reads the whole response.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).context("build request")?;
    let exchange = async {
        let response = call(address, request, CONNECT_TIMEOUT).await?;
        let status = response.status();
        let body = body_bytes(response.into_body(), MAX_BODY_BYTES).await?;
        Ok((status, body))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .context("no response within the timeout")?
}

/// Sends a request and decodes the JSON body of a successful response.
pub async fn request_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> anyhow::Result<T> {
    let body = body.map(|v| v.to_string().into_bytes()).unwrap_or_default();
    let (status, bytes) = send(address, method, path, &[], body).await?;
    anyhow::ensure!(status.is_success(), "{path}: {status}: {}", String::from_utf8_lossy(&bytes));
    serde_json::from_slice(&bytes).with_context(|| format!("decode response of {path}"))
}

/// Builds an empty response with a status.
pub fn status(code: StatusCode) -> Response {
    let mut response = Response::empty();
    *response.status_mut() = code;
    response
}

/// Builds a response whose body breaks off, as when a server dies after it has done the work.
pub fn truncated_response() -> Response {
    let broken = futures::stream::iter([Err::<Bytes, _>(std::io::Error::other("cut"))]);
    Response::new(Body::from_stream(broken))
}
