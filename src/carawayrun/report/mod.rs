//! Burn rates and error budgets of service-level objectives.
//!
//! Each gateway counts good and all requests in buckets of five minutes
//! ([`BurnSums`]) and stores them in the table service, one row per hour. A
//! report ([`BurnReport`]) sums the rows of all gateways and shows how fast the
//! error budget burns over short and long windows and how much of it is left.

mod burn;
mod counts;
mod html;
mod measure;
mod sums;
mod text;

pub use self::burn::{
    Alert, BurnReport, ObjectiveBurn, PartBurn, SeriesPoint, Window, WindowBurn, burn_report,
};
pub use self::html::{DrawError, burn_html};
pub use self::measure::{Measure, Sample, measures};
pub use self::sums::{
    BUCKET_MS, BUCKETS_PER_HOUR, BURN_PREFIX, BurnSums, Cell, Count, HOUR_MS, HourRow, HourSums,
    burn_key,
};
pub use self::text::burn_text;
