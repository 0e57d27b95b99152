//! Client of the object store.

use std::net::SocketAddr;

use awc::Client;
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use compact_str::CompactString;

use super::call::{self, CallError};

/// Maximum length of an object that is read, in bytes.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Client of the object store; belongs to one thread.
#[derive(Clone)]
pub struct ObjectClient {
    client: Client,
    base: CompactString,
}

impl ObjectClient {
    /// Creates a client of the store at `addr`; connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            client: call::new_client(call::KEEP_ALIVE),
            base: CompactString::from(format!("http://{addr}/v1/objects")),
        }
    }

    /// Writes a whole object. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the store did not confirm the call.
    pub async fn put(&self, name: &str, body: Bytes) -> Result<(), CallError> {
        let answer = self.send(Method::PUT, name, body).await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            Err(call::invalid_status(answer.status, &answer.body))
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the store did not answer.
    pub async fn get(&self, name: &str) -> Result<Option<Bytes>, CallError> {
        let answer = self.send(Method::GET, name, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(call::invalid_status(status, &answer.body)),
        }
    }

    /// Deletes an object. An object that does not exist is not an error.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if the store did not confirm the call.
    pub async fn delete(&self, name: &str) -> Result<(), CallError> {
        let answer = self.send(Method::DELETE, name, Bytes::new()).await?;
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            Err(call::invalid_status(answer.status, &answer.body))
        }
    }

    async fn send(
        &self,
        method: Method,
        name: &str,
        body: Bytes,
    ) -> Result<call::Answer, CallError> {
        let url = format!("{}/{name}", self.base);
        call::send(&self.client, method, &url, body, MAX_OBJECT_BYTES).await
    }
}

impl std::fmt::Debug for ObjectClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ObjectClient")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}
