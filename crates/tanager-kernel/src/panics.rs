//! Turns the panic of a task into an error, so that the task's duty does not end silently.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_util::FutureExt;

/// Runs a future to its end.
///
/// # Errors
///
/// The message of the panic if the future panics.
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output, String> {
    // State that the future shares must be valid, or be discarded, after a panic.
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|payload| panic_message(payload.as_ref()))
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("panic without a message").to_owned()
}
