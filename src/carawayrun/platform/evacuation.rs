//! Operators' orders that take a zone out of service.

/// Key prefix of the orders; the name of the zone follows. The row's presence is the order.
const PREFIX: &str = "evacuate/";

/// Returns the data centre that a row with this key takes out of service.
pub(crate) fn evacuated_data_centre(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX).filter(|name| !name.is_empty())
}
