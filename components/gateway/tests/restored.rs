//! Restores of the store from an older copy: revisions go back and are assigned again, and rows written since the copy
//! are missing until they are written again.

mod common;

use common::{
    configuration, endpoint, route, settings, wait_until, EndpointStandin, Lines, Setup,
    StoreStandin,
};
use directory::Execution;

fn put_route(store: &StoreStandin, version: u64, prefix: &str) {
    let routes = vec![route(prefix, Execution::Repeatable)];
    store.put_configuration(configuration(version, routes));
}

#[test]
fn a_store_restore_is_logged_once() {
    let standin = EndpointStandin::start(|_, e| e.answer(200, "x"));
    let store = StoreStandin::default();
    put_route(&store, 1, "/a/");
    store.put_endpoint(endpoint("e1", standin.address));
    let lines = Lines::default();
    let setup = Setup::start_with_log(settings(), store.clone(), lines.logger());
    wait_until("readiness", || setup.is_ready());
    wait_until("the first era", || {
        lines.count("era read from the store") == 1
    });
    assert_eq!(lines.count("store restored from an older copy"), 0);
    store.take_snapshot();
    store.restore_snapshot();
    wait_until("the log line of the restore", || {
        lines.count("store restored from an older copy") == 1
    });
    assert_eq!(setup.call("/a/1", &[]).status, 200);
}
