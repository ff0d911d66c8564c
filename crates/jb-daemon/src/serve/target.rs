//! Target of a call to a plain service.

use poem::http::Uri;

/// Parts of a path in front of the service's own: nothing, `services`, and its name.
const LEADING_PARTS: usize = 3;

/// Returns the path and the query of a call at the service, as the caller sent them and without a leading slash. A decoded path
/// would be another one where the caller had encoded a `?`, a `#` or a slash.
pub fn at_service(uri: &Uri) -> &str {
    let whole = uri
        .path_and_query()
        .map(|target| target.as_str())
        .unwrap_or_default();
    whole
        .splitn(LEADING_PARTS + 1, '/')
        .nth(LEADING_PARTS)
        .unwrap_or_default()
}
