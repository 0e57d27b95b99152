//! Signed tokens that pin a session to its version.
//!
//! A token contains the team and the version and is signed with the cluster
//! key, so every gateway accepts it without reading the table service, also
//! during a store outage.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::refusal::Refusal;
use crate::peer::Keys;
use crate::traffic::Code;

/// Prefix of every token. A session id without it is the caller's own.
const PREFIX: &str = "crs1.";

/// Domain separator that distinguishes the signature of a token from those of
/// messages under the same key.
const DOMAIN: &[u8] = b"carawayrun session 1\n";

/// The version that a session is pinned to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Pin {
    /// Name of the team.
    pub(super) team: CompactString,
    /// Name of the version.
    pub(super) version: CompactString,
}

/// Value of the session header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SessionHeader {
    /// A token that a gateway issued.
    Token(Pin),
    /// An id of the caller's own.
    CallerId(CompactString),
}

impl SessionHeader {
    /// Parses the value of the header.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a token is invalid or belongs to another team.
    pub(super) fn read(text: &str, team: &str, keys: &Keys) -> Result<Self, Refusal> {
        let Some(encoded) = text.strip_prefix(PREFIX) else {
            return Ok(Self::CallerId(text.into()));
        };
        let pin = open_token(encoded, keys).ok_or_else(|| {
            Refusal::new(
                Code::MalformedHeader,
                "header `x-carawayrun-session`: the token is not one of ours; start a new session",
            )
        })?;
        if pin.team != team {
            return Err(Refusal::new(
                Code::ForbiddenVersion,
                "header `x-carawayrun-session`: the token is another team's; start a new session",
            ));
        }
        Ok(Self::Token(pin))
    }
}

impl Pin {
    /// Returns the signed token of this pin.
    pub(super) fn to_token(&self, keys: &Keys) -> String {
        let mut payload = DOMAIN.to_vec();
        serde_json::to_writer(&mut payload, self).expect("a pin can be written as JSON");
        let sealed = keys.seal(&payload);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(&sealed))
    }
}

fn open_token(encoded: &str, keys: &Keys) -> Option<Pin> {
    let sealed = URL_SAFE_NO_PAD.decode(encoded).ok()?;
    let payload = keys.open(Bytes::from(sealed)).ok()?;
    let pin = payload.strip_prefix(DOMAIN)?;
    serde_json::from_slice(pin).ok()
}
