//! Resources in the format of manifests and the API.

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use super::spec::{Kind, Spec, UnknownKindError};

/// The only supported version of the resource format.
pub const API_VERSION: &str = "carawayrun/v1";

/// A resource with its kind, name and desired state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Resource {
    /// Always [`API_VERSION`].
    pub api_version: CompactString,
    /// Kind of `spec`.
    pub kind: Kind,
    /// Name and resource version.
    pub metadata: Metadata,
    /// Desired state.
    pub spec: Spec,
}

/// Name and resource version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Name, unique within the kind.
    pub name: CompactString,
    /// Generation of the last change to this resource. In a write, the version
    /// that the resource must have, or zero for any version.
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

/// Error of parsing a manifest.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ParseManifestError {
    /// The document is not YAML or JSON, or does not have the fields of a
    /// resource.
    #[snafu(display("document {document}: not a resource: {source}"))]
    Syntax {
        /// Number of the document in its file, starting at one.
        document: usize,
        /// Error of the parser.
        source: serde_yaml_ng::Error,
    },
    /// The document has an unsupported `apiVersion`.
    #[snafu(display("document {document}: apiVersion is `{found}`; accepted is `{API_VERSION}`"))]
    ApiVersion {
        /// Number of the document in its file, starting at one.
        document: usize,
        /// Version in the manifest.
        found: CompactString,
    },
    /// The document has an unknown kind.
    #[snafu(display("document {document}: {source}"))]
    UnknownKind {
        /// Number of the document in its file, starting at one.
        document: usize,
        /// Error with the unknown kind.
        source: UnknownKindError,
    },
    /// The spec has an invalid, missing or unknown field.
    #[snafu(display("document {document}: {kind}/{name}: spec: {source}"))]
    Spec {
        /// Number of the document in its file, starting at one.
        document: usize,
        /// Kind of the resource.
        kind: Kind,
        /// Name of the resource.
        name: CompactString,
        /// Error of the field.
        source: serde_json::Error,
    },
}

/// Parses all resources of a YAML or JSON text, whose documents are separated
/// by `---`.
///
/// # Errors
///
/// Returns a [`ParseManifestError`] with the number of the first invalid
/// document.
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

/// Parses one resource from a JSON value; `document` is its number in errors.
///
/// # Errors
///
/// Returns a [`ParseManifestError`] if the value is not a resource.
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
    fn parse<T: DeserializeOwned>(value: Value) -> Result<T, serde_json::Error> {
        serde_json::from_value(value)
    }
    match kind {
        Kind::Team => parse(value).map(Spec::Team),
        Kind::Service => parse(value).map(Spec::Service),
        Kind::Version => parse(value).map(Spec::Version),
        Kind::Upstream => parse(value).map(Spec::Upstream),
        Kind::Rollout => parse(value).map(Spec::Rollout),
        Kind::Objective => parse(value).map(Spec::Objective),
    }
}

impl<'de> Deserialize<'de> for Resource {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        parse_resource(value, 1).map_err(serde::de::Error::custom)
    }
}
