//! HTTP client of the platform's object API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Body as _;
use nutmeggrade_core::endpoint::Endpoint;
use nutmeggrade_core::object::{Changes, Object};
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use crate::call::{call, transfer_bytes};
use crate::list_decoding::{decode_changes, decode_endpoints};
use crate::traffic::head_size;
use crate::{CallCounters, Platform, PlatformError, Traffic};

/// Maximum size of a response, in bytes; lists contain values of up to a megabyte each.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Maximum number of changes that one watch returns, earliest first.
pub const MAX_WATCH_CHANGES: usize = 32;

/// HTTP client of the platform's object API.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    call_timeout: Duration,
    counters: Arc<CallCounters>,
    list: Arc<Mutex<Option<TaggedList>>>,
    /// Number of entries in the last list that can't be decoded.
    unreadable: Arc<AtomicUsize>,
}

/// The last list of endpoints with its entity tag.
#[derive(Debug, Clone)]
struct TaggedList {
    tag: HeaderValue,
    endpoints: Vec<Endpoint>,
}

impl HttpPlatform {
    /// Creates a client with a timeout for each call.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let list = Arc::new(Mutex::new(None));
        let (counters, unreadable) = (Arc::new(CallCounters::new()), Arc::default());
        Self { address, call_timeout, counters, list, unreadable }
    }

    async fn send(
        &self,
        kind: &'static str,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let (head, body) = self.exchange(kind, request, call_timeout).await?.into_parts();
        Ok((head.status, body))
    }

    async fn exchange(
        &self,
        kind: &'static str,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<Response<Bytes>, PlatformError> {
        self.counters.count(kind);
        let body = usize::try_from(request.body().size_hint().lower()).unwrap_or(0);
        self.counters.add_sent(head_size(request.uri().path(), request.headers()) + body);
        let response = call(self.address, request, self.call_timeout);
        let response = match timeout(call_timeout, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if e.not_sent() => return Err(PlatformError::Refused(e.into())),
            Ok(Err(e)) => return Err(PlatformError::Unknown(e.into())),
            Err(_) => return Err(PlatformError::Unknown(anyhow::anyhow!("{kind}: timeout"))),
        };
        let (head, body) = response.into_parts();
        let body = transfer_bytes(body, self.call_timeout, MAX_RESPONSE_BYTES);
        let body = body.await.map_err(|e| PlatformError::Unknown(e.into()))?;
        self.counters.add_received(head_size("", &head.headers) + body.len());
        Ok(Response::from_parts(head, body))
    }

    async fn write(
        &self,
        kind: &'static str,
        method: Method,
        key: &str,
        condition: (header::HeaderName, String),
        value: Option<&Value>,
    ) -> Result<u64, PlatformError> {
        let body = value.map(|v| Bytes::from(v.to_string())).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(format!("/objects/{key}"))
            .header(header::HOST, self.address.to_string())
            .header(condition.0, condition.1)
            .body(Full::new(body))
            .map_err(|e| PlatformError::Refused(e.into()))?;
        let (status, body) = self.send(kind, request, self.call_timeout).await?;
        match status {
            StatusCode::OK | StatusCode::CREATED => {
                let object: Object = parse(&body)?;
                Ok(object.version)
            }
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            s if is_refusal(s) => Err(PlatformError::Refused(anyhow::anyhow!("{kind}: {s}"))),
            s => Err(PlatformError::Unknown(anyhow::anyhow!("{kind}: {s}"))),
        }
    }

    fn get_request(
        &self,
        path: &str,
        tag: Option<&HeaderValue>,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let mut request =
            Request::builder().uri(path).header(header::HOST, self.address.to_string());
        if let Some(tag) = tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        request.body(Full::default()).map_err(|e| PlatformError::Refused(e.into()))
    }

    fn lock_list(&self) -> MutexGuard<'_, Option<TaggedList>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        call_timeout: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let (status, body) = self.send(kind, self.get_request(path, None)?, call_timeout).await?;
        match status {
            StatusCode::OK => Ok(Some(parse(&body)?)),
            StatusCode::NOT_FOUND => Ok(None),
            s => Err(PlatformError::Refused(anyhow::anyhow!("{kind}: {s}"))),
        }
    }

    async fn get_changes(
        &self,
        kind: &'static str,
        path: &str,
        call_timeout: Duration,
    ) -> Result<Changes, PlatformError> {
        let (status, body) = self.send(kind, self.get_request(path, None)?, call_timeout).await?;
        if status != StatusCode::OK {
            return Err(PlatformError::Refused(anyhow::anyhow!("{kind}: {status}")));
        }
        decode_changes(&body).map_err(PlatformError::Unknown)
    }
}

/// Returns whether a status proves that a write had no effect. A plain 500 or 502 does not: a
/// server or gateway may send it after the write.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Unknown(e.into()))
}

impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.get("read", &format!("/objects/{key}"), self.call_timeout).await
    }

    async fn create(&self, key: &str, value: &Value) -> Result<u64, PlatformError> {
        let if_none_match = (header::IF_NONE_MATCH, "*".to_owned());
        self.write("create", Method::PUT, key, if_none_match, Some(value)).await
    }

    async fn replace(&self, key: &str, value: &Value, version: u64) -> Result<u64, PlatformError> {
        let if_match = (header::IF_MATCH, version.to_string());
        self.write("replace", Method::PUT, key, if_match, Some(value)).await
    }

    async fn remove(&self, key: &str, version: u64) -> Result<(), PlatformError> {
        let if_match = (header::IF_MATCH, version.to_string());
        self.write("remove", Method::DELETE, key, if_match, None).await.map(|_| ())
    }

    async fn list(&self, prefix: &str) -> Result<Changes, PlatformError> {
        self.get_changes("list", &format!("/list?prefix={prefix}"), self.call_timeout).await
    }

    async fn list_after(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Changes, PlatformError> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
        self.get_changes("list", &path, self.call_timeout).await
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/watch?prefix={prefix}&since={revision}&wait_ms={wait_ms}&limit={MAX_WATCH_CHANGES}"
        );
        self.get_changes("watch", &path, wait + self.call_timeout).await
    }

    async fn endpoints(&self) -> Result<Vec<Endpoint>, PlatformError> {
        // The list is polled often and changes rarely; a platform that sends an entity tag returns
        // the list only after a change.
        let last = self.lock_list().clone();
        let request = self.get_request("/endpoints", last.as_ref().map(|l| &l.tag))?;
        let response = self.exchange("endpoints", request, self.call_timeout).await?;
        match (response.status(), last) {
            (StatusCode::OK, _) => {
                let decoded = decode_endpoints(response.body()).map_err(PlatformError::Unknown)?;
                let (endpoints, unreadable) = decoded;
                if self.unreadable.swap(unreadable, Ordering::Relaxed) != unreadable {
                    tracing::warn!(event = "endpoints_unreadable", count = unreadable);
                }
                let tag = response.headers().get(header::ETAG).cloned();
                let tagged = tag.map(|tag| TaggedList { tag, endpoints: endpoints.clone() });
                *self.lock_list() = tagged;
                Ok(endpoints)
            }
            (StatusCode::NOT_MODIFIED, Some(last)) => Ok(last.endpoints),
            (status, _) => Err(PlatformError::Refused(anyhow::anyhow!("endpoints: {status}"))),
        }
    }

    fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.counters.calls()
    }

    fn traffic(&self) -> Traffic {
        self.counters.traffic()
    }
}
