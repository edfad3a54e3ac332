//! Stand-ins for the platform and the upstreams: key-value service, list of instances, model
//! engines with their weight store, plain services, and a fault-injecting TCP proxy.
