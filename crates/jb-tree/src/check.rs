//! Validation of a whole tree before it is accepted.

use std::collections::HashMap;
use std::net::SocketAddr;

use jb_protocol::service::Kind;

use crate::error::Error;
use crate::key::Digest;
use crate::path::{Branch, Path};
use crate::settings::Settings;
use crate::tree::Tree;

const FULL_SHARE: u32 = 100;

/// Validates the constraints that the types of a single node's settings cannot express.
///
/// # Errors
/// Returns [`Error::Check`] with every violation found.
pub fn check(tree: &Tree) -> Result<(), Error> {
    let mut violations = Vec::new();
    let mut customers_by_key = HashMap::new();
    let mut paths_by_name = HashMap::new();
    for (path, own) in tree.nodes() {
        let settings = tree.effective(path);
        check_allowed_settings(path, own, &mut violations);
        match path.branch() {
            Branch::Customers => check_customer(
                path,
                own,
                &mut customers_by_key,
                &mut paths_by_name,
                &mut violations,
            ),
            Branch::Services => check_service(path, &settings, &mut violations),
            Branch::Routes => check_route(tree, path, own, &settings, &mut paths_by_name, &mut violations),
            Branch::Root => {}
        }
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(Error::Check { violations })
    }
}

/// Reports settings that are only valid at one kind of node and appear at another.
fn check_allowed_settings(path: &Path, own: &Settings, violations: &mut Vec<String>) {
    let depth = path.segments().count();
    let upstream = path.branch() == Branch::Services && depth == 3;
    let customer = path.branch() == Branch::Customers && depth > 1;
    if own.keys.is_some() && !customer {
        violations.push(format!("`{path}` sets `keys`, which is only valid at a customer"));
    }
    if (own.address.is_some() || own.leaving.is_some()) && !upstream {
        violations.push(format!(
            "`{path}` sets `address` or `leaving`, which are only valid at an upstream"
        ));
    }
    if own.service.is_some() && path.branch() != Branch::Routes {
        violations.push(format!("`{path}` sets `service`, which is only valid at a route"));
    }
}

fn check_customer(
    path: &Path,
    own: &Settings,
    customers_by_key: &mut HashMap<Digest, Path>,
    paths_by_name: &mut HashMap<(u8, String), Path>,
    violations: &mut Vec<String>,
) {
    let Some(keys) = &own.keys else {
        return;
    };
    check_unique_name(0, path, paths_by_name, violations);
    for key in keys {
        let Some(digest) = Digest::parse(key) else {
            violations.push(format!(
                "`{path}` has a key that is not `sha256:` followed by 64 hex digits"
            ));
            continue;
        };
        if let Some(other) = customers_by_key.insert(digest, path.clone()) {
            violations.push(format!("`{path}` and `{other}` have a bearer key in common"));
        }
    }
}

/// Reports two nodes of a branch with the same last path segment, because that segment is the id.
fn check_unique_name(
    branch: u8,
    path: &Path,
    paths_by_name: &mut HashMap<(u8, String), Path>,
    violations: &mut Vec<String>,
) {
    let name = (branch, path.name().to_owned());
    if let Some(other) = paths_by_name.insert(name, path.clone()) {
        violations.push(format!("`{path}` and `{other}` have the same name"));
    }
}

fn check_service(path: &Path, settings: &Settings, violations: &mut Vec<String>) {
    match path.segments().count() {
        2 => {
            let engine = settings.kind.unwrap_or_default() == Kind::Engine;
            if engine && settings.model.is_none() {
                violations.push(format!("`{path}` is an engine service without a `model`"));
            }
            let weight = settings.cache_weight.unwrap_or(0.0);
            if !(0.0..=100.0).contains(&weight) {
                violations.push(format!("`{path}`: `cache_weight` must be between 0 and 100"));
            }
            if settings
                .prefill_us_per_token
                .is_some_and(|us| !us.is_finite() || us <= 0.0)
            {
                violations.push(format!("`{path}`: `prefill_us_per_token` must be greater than 0"));
            }
        }
        3 => check_upstream(path, settings, violations),
        _ => {}
    }
}

fn check_upstream(path: &Path, settings: &Settings, violations: &mut Vec<String>) {
    match &settings.address {
        None => violations.push(format!("`{path}` has no `address`")),
        Some(address) if address.parse::<SocketAddr>().is_err() => {
            violations.push(format!("`{path}`: `{address}` is not an IP address with a port"));
        }
        Some(_) => {}
    }
    if settings.hall.is_none() {
        violations.push(format!("`{path}` has no `hall`"));
    }
}

fn check_route(
    tree: &Tree,
    path: &Path,
    own: &Settings,
    settings: &Settings,
    paths_by_name: &mut HashMap<(u8, String), Path>,
    violations: &mut Vec<String>,
) {
    if own.service.is_some() {
        check_unique_name(1, path, paths_by_name, violations);
    }
    if let Some(service) = &settings.service {
        let node = format!("/services/{service}").parse::<Path>();
        let known = node.is_ok_and(|node| tree.node(&node).is_some());
        if !known {
            violations.push(format!(
                "`{path}` refers to service `{service}`, which does not exist"
            ));
        }
    }
    if settings.share.is_some_and(|share| share > FULL_SHARE) {
        violations.push(format!("`{path}`: `share` must be between 0 and 100"));
    }
    if settings.target.is_some() && settings.home.is_none() {
        violations.push(format!(
            "`{path}` sets `target` for a migration but no `home` to migrate from"
        ));
    }
}
