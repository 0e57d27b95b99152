//! Identifiers of processes and requests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use snafu::Snafu;

use super::message;

/// One incarnation of a process.
///
/// The number of the incarnation is the wall-clock time of the start in
/// microseconds, so it grows with every start of the same name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId {
    /// Name from the settings, unique among the nodes.
    pub name: CompactString,
    /// Number of the incarnation.
    pub incarnation: u64,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.name, self.incarnation)
    }
}

/// Identifier of a caller's request, created by a gateway and the same over all
/// attempts and cascade steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// Incarnation of the gateway that accepted the request.
    pub gateway: NodeId,
    /// Number of the request within that incarnation, from one.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.gateway, self.sequence)
    }
}

/// Error for a text that is neither a node id nor a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("`{text}` is not an id of the form NAME.INCARNATION[.SEQUENCE]"))]
pub struct ParseIdError {
    text: CompactString,
}

impl FromStr for NodeId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError { text: text.into() };
        let (name, incarnation) = text.rsplit_once('.').ok_or_else(invalid)?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| invalid())?;
        Ok(Self {
            name: name.into(),
            incarnation,
        })
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError { text: text.into() };
        let (gateway, sequence) = text.rsplit_once('.').ok_or_else(invalid)?;
        let sequence = sequence.parse().map_err(|_| invalid())?;
        Ok(Self {
            gateway: gateway.parse()?,
            sequence,
        })
    }
}

impl From<&NodeId> for message::Node {
    fn from(node: &NodeId) -> Self {
        Self {
            name: node.name.to_string(),
            incarnation: node.incarnation,
        }
    }
}

impl From<&message::Node> for NodeId {
    fn from(node: &message::Node) -> Self {
        Self {
            name: node.name.as_str().into(),
            incarnation: node.incarnation,
        }
    }
}

impl From<&RequestId> for message::RequestId {
    fn from(id: &RequestId) -> Self {
        Self {
            gateway: Some((&id.gateway).into()),
            sequence: id.sequence,
        }
    }
}

impl TryFrom<&message::RequestId> for RequestId {
    type Error = ParseIdError;

    fn try_from(id: &message::RequestId) -> Result<Self, Self::Error> {
        let gateway = id
            .gateway
            .as_ref()
            .ok_or(ParseIdError { text: "".into() })?;
        Ok(Self {
            gateway: gateway.into(),
            sequence: id.sequence,
        })
    }
}
