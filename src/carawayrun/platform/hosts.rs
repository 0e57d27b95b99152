//! Client of the host list.

use std::net::SocketAddr;

use awc::Client;
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;

use super::call::{self, CallError};
use crate::control::HostEntry;

/// Longest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Client of the host list; belongs to one thread.
#[derive(Clone)]
pub struct HostsClient {
    client: Client,
    url: CompactString,
}

impl HostsClient {
    /// A client of the list at `addr`; connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: call::client(),
            url: CompactString::from(format!("http://{addr}/v1/hosts")),
        }
    }

    /// Reads the whole list, which lags behind the hosts.
    ///
    /// # Errors
    ///
    /// [`CallError`] where the service did not answer with a list.
    pub async fn list(&self) -> Result<Vec<HostEntry>, CallError> {
        let sending = call::send(
            &self.client,
            Method::GET,
            &self.url,
            Bytes::new(),
            MAX_LIST_BYTES,
        );
        let answer = sending.await?;
        if answer.status != StatusCode::OK {
            return Err(call::invalid(answer.status, &answer.body));
        }
        serde_json::from_slice(&answer.body).map_err(|error| call::unreadable(&error))
    }
}

impl std::fmt::Debug for HostsClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostsClient")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}
