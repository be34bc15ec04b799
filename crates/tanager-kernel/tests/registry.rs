//! Guards against services that are found with a wrong type, registered twice or stopped in the
//! wrong order.

use std::sync::Arc;
use std::sync::Mutex;

use serde_json::json;

use tanager_kernel::ServiceHooks;
use tanager_kernel::ServiceKernel;
use tanager_kernel::ServiceName;
use tanager_protocol::error::ErrorKind;

struct First;

impl ServiceName for First {
    type Handle = u32;
    const NAME: &'static str = "first";
}

struct Second;

impl ServiceName for Second {
    type Handle = String;
    const NAME: &'static str = "second";
}

fn recording_hooks(name: &'static str, order: &Arc<Mutex<Vec<&'static str>>>) -> ServiceHooks {
    let order = Arc::clone(order);
    ServiceHooks {
        stop: Box::new(move || Box::pin(async move { order.lock().expect("lock").push(name) })),
        dump: Box::new(move || json!({ "name": name })),
    }
}

#[tokio::test]
async fn services_stop_in_reverse_order() {
    let kernel = ServiceKernel::new();
    let order = Arc::new(Mutex::new(Vec::new()));
    kernel
        .register::<First>(Arc::new(1), recording_hooks("first", &order))
        .expect("register");
    kernel
        .register::<Second>(
            Arc::new("two".to_owned()),
            recording_hooks("second", &order),
        )
        .expect("register");
    assert_eq!(*kernel.find::<First>().expect("found"), 1);
    assert_eq!(*kernel.find::<Second>().expect("found"), "two");
    assert_eq!(
        kernel.dump(),
        json!({"first": {"name": "first"}, "second": {"name": "second"}})
    );
    kernel.stop().await;
    assert_eq!(*order.lock().expect("lock"), ["second", "first"]);
    assert_eq!(
        kernel.find::<First>().expect_err("stopped").kind,
        ErrorKind::NotReady
    );
}

#[test]
fn a_name_is_registered_once() {
    let kernel = ServiceKernel::new();
    kernel
        .register::<First>(Arc::new(1), ServiceHooks::dump_only(|| json!(1)))
        .expect("register");
    let error = kernel
        .register::<First>(Arc::new(2), ServiceHooks::dump_only(|| json!(2)))
        .expect_err("already registered");
    assert_eq!(error.kind, ErrorKind::Internal);
    assert_eq!(*kernel.find::<First>().expect("found"), 1);
}
