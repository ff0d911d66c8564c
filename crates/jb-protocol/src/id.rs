//! Type aliases for the ids that junctionbend passes around.

/// Name of one box, unique among all boxes.
pub type Box = String;
/// Name of one data hall.
pub type Hall = String;
/// Name of one customer, the last segment of its node's path.
pub type Customer = String;
/// Name of one service, the last segment of its node's path.
pub type Service = String;
/// Name of one route; callers of engines name it as the model.
pub type Route = String;
/// Name of one upstream, written `service/upstream`.
pub type Upstream = String;
/// Number that an engine draws anew whenever it starts with an empty cache.
pub type Incarnation = u64;
/// Number of an accepted tree of settings; it only grows.
pub type Revision = u64;
/// Name of one attempt to run a request, echoed by the upstream.
pub type Attempt = String;
/// Name of one edit of the tree, drawn by the operator's client.
pub type Edit = String;
/// Version of a model's weights.
pub type Weights = String;
/// Number that the platform raises whenever a lease changes hands.
pub type Fence = u64;
