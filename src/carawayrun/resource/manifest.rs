//! Resources as manifests and the API write them.

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use super::spec::{Kind, Spec, UnknownKindError};

/// The only version of the resource format.
pub const API_VERSION: &str = "carawayrun/v1";

/// A resource: kind, name and desired state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Resource {
    /// Always [`API_VERSION`].
    pub api_version: CompactString,
    /// Kind of `spec`.
    pub kind: Kind,
    /// Name and bookkeeping.
    pub metadata: Metadata,
    /// Desired state.
    pub spec: Spec,
}

/// Name and bookkeeping of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Name, unique within the kind.
    pub name: CompactString,
    /// Generation of the last change to this resource; in a write, the one the
    /// writer has seen. Zero where the writer does not care.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub resource_version: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct RawResource {
    api_version: CompactString,
    kind: CompactString,
    metadata: Metadata,
    spec: Value,
    #[serde(default, rename = "status")]
    _status: Value,
}

/// A manifest that can't be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ParseManifestError {
    /// Not YAML or JSON, or not the shape of a resource.
    #[snafu(display("document {document}: not a resource: {source}"))]
    Syntax {
        /// Number of the document in its file, from one.
        document: usize,
        /// What the parser said.
        source: serde_yaml_ng::Error,
    },
    /// Written for another version of the format.
    #[snafu(display("document {document}: apiVersion is `{found}`; accepted is `{API_VERSION}`"))]
    ApiVersion {
        /// Number of the document in its file, from one.
        document: usize,
        /// What the manifest says.
        found: CompactString,
    },
    /// A kind that does not exist.
    #[snafu(display("document {document}: {source}"))]
    UnknownKind {
        /// Number of the document in its file, from one.
        document: usize,
        /// Which kind it was.
        source: UnknownKindError,
    },
    /// A spec with a wrong, missing or unknown field.
    #[snafu(display("document {document}: {kind}/{name}: spec: {source}"))]
    Spec {
        /// Number of the document in its file, from one.
        document: usize,
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Reads all resources of a YAML or JSON text; documents are divided by `---`.
///
/// # Errors
///
/// [`ParseManifestError`] names the first document that can't be read.
pub fn parse_manifests(text: &str) -> Result<Vec<Resource>, ParseManifestError> {
    let mut resources = Vec::new();
    for (index, document) in serde_yaml_ng::Deserializer::from_str(text).enumerate() {
        let document_number = index + 1;
        let value = Value::deserialize(document).context(SyntaxSnafu {
            document: document_number,
        })?;
        if value.is_null() {
            continue;
        }
        resources.push(parse_resource(value, document_number)?);
    }
    Ok(resources)
}

/// Reads one resource that is JSON already; `document` is its number in errors.
///
/// # Errors
///
/// [`ParseManifestError`] where it is no resource.
pub fn parse_resource(value: Value, document: usize) -> Result<Resource, ParseManifestError> {
    let raw: RawResource = serde_yaml_ng::from_value(
        serde_yaml_ng::to_value(value).context(SyntaxSnafu { document })?,
    )
    .context(SyntaxSnafu { document })?;
    if raw.api_version != API_VERSION {
        return ApiVersionSnafu {
            document,
            found: raw.api_version,
        }
        .fail();
    }
    let kind: Kind = raw.kind.parse().context(UnknownKindSnafu { document })?;
    let spec = parse_spec(kind, raw.spec).context(SpecSnafu {
        document,
        kind,
        name: raw.metadata.name.clone(),
    })?;
    Ok(Resource {
        api_version: raw.api_version,
        kind,
        metadata: raw.metadata,
        spec,
    })
}

fn parse_spec(kind: Kind, value: Value) -> Result<Spec, serde_json::Error> {
    fn typed<T: DeserializeOwned>(value: Value) -> Result<T, serde_json::Error> {
        serde_json::from_value(value)
    }
    match kind {
        Kind::Team => typed(value).map(Spec::Team),
        Kind::Service => typed(value).map(Spec::Service),
        Kind::Version => typed(value).map(Spec::Version),
        Kind::Upstream => typed(value).map(Spec::Upstream),
        Kind::Rollout => typed(value).map(Spec::Rollout),
        Kind::Objective => typed(value).map(Spec::Objective),
    }
}

impl<'de> Deserialize<'de> for Resource {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        parse_resource(value, 1).map_err(serde::de::Error::custom)
    }
}
