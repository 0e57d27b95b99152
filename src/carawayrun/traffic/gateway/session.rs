//! Signed tokens that keep a session on its version.
//!
//! A token names team and version under the cluster key, so any gateway honours
//! it without a read of the table service, also while that is out.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::refusal::Refusal;
use crate::peer::Keys;
use crate::traffic::Code;

/// Start of every token; other session ids are the caller's own.
const PREFIX: &str = "crs1.";

/// Keeps a token's code apart from those of messages under the same key.
const DOMAIN: &[u8] = b"carawayrun session 1\n";

/// What a session is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct Pin {
    /// Name of the team.
    pub(super) team: CompactString,
    /// Name of the version.
    pub(super) version: CompactString,
}

/// What a caller sent as its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SessionHeader {
    /// One of our tokens.
    Token(Pin),
    /// An id of the caller's own.
    CallerId(CompactString),
}

impl SessionHeader {
    /// Reads the value of the header.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] where a token is not ours or is another team's.
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
    /// The token of this pin.
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
