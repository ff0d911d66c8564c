//! Targets of calls to plain services.

use jb_daemon::serve::target::at_service;
use poem::http::Uri;

/// A call reached another path of its service if the caller had encoded a character with a meaning in a target.
#[test]
fn call_reaches_its_service_with_the_path_that_the_caller_encoded() {
    for (sent, reached) in [
        ("/services/shop/do", "do"),
        ("/services/shop/do/it?a=b/c", "do/it?a=b/c"),
        ("/services/sh%6Fp/a%3Fb%23c%2Fd%25e%20f", "a%3Fb%23c%2Fd%25e%20f"),
        ("/services/shop//x", "/x"),
        ("/services/shop/", ""),
    ] {
        let uri: Uri = sent.parse().unwrap_or_else(|why| panic!("{sent}: {why}"));
        assert_eq!(at_service(&uri), reached, "{sent}");
    }
}
