//! Client of the platform's list of the hosts on which nodes run. It tells nodes
//! the addresses of their peers and which hosts are about to be removed.

use std::net::SocketAddr;

use awc::Client;
use awc::http::{StatusCode, header};
use bytes::Bytes;
use compact_str::CompactString;

use super::call::{self, CallError};
use crate::control::HostEntry;

/// Maximum length of the list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Client of the host list; belongs to one thread.
///
/// The list is long and changes seldom, so the client makes conditional
/// requests with the `ETag` of the list that it has read.
pub struct HostsClient {
    client: Client,
    url: CompactString,
    etag: CompactString,
    hosts: Vec<HostEntry>,
}

impl HostsClient {
    /// Creates a client of the list at `addr`; connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: call::new_client(call::KEEP_ALIVE),
            url: CompactString::from(format!("http://{addr}/v1/hosts")),
            etag: CompactString::default(),
            hosts: Vec::new(),
        }
    }

    /// Reads the whole list, which lags behind the actual hosts.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the service did not answer with a list.
    pub async fn list(&mut self) -> Result<Vec<HostEntry>, CallError> {
        let mut request = self.client.get(self.url.as_str());
        if !self.etag.is_empty() {
            request = request.insert_header((header::IF_NONE_MATCH, self.etag.as_str()));
        }
        let answer = call::send_request(request, Bytes::new(), MAX_LIST_BYTES).await?;
        match answer.status {
            StatusCode::OK => {
                let hosts = serde_json::from_slice(&answer.body);
                self.hosts = hosts.map_err(|error| call::invalid_json(&error))?;
                self.etag = answer.etag;
            }
            StatusCode::NOT_MODIFIED => {}
            status => return Err(call::invalid_status(status, &answer.body)),
        }
        Ok(self.hosts.clone())
    }
}

impl std::fmt::Debug for HostsClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostsClient")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}
