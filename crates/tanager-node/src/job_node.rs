//! `tanagerladderd jobs`: runs one node of the job service.

use std::path::Path;
use std::process::ExitCode;

use tanager_protocol::error::TanagerResult;
use tanager_service::JobNode;
use tanager_service::logging;
use tanager_site::settings::SiteSettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs a node until SIGTERM or SIGINT, or only checks its settings.
///
/// `enabled_features` names features beyond those that the settings ask for.
pub(crate) fn run(config: &Path, check: bool, enabled_features: &str) -> ExitCode {
    let settings = match open_settings(config, enabled_features) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tanagerladderd: {error}");
            return ExitCode::from(2);
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let log_filter = std::env::var("RUST_LOG").unwrap_or_default();
    if let Err(error) = logging::install(&settings.node, &log_filter) {
        eprintln!("tanagerladderd: {error}");
        return ExitCode::FAILURE;
    }
    match serve(&settings, config, enabled_features) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagerladderd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn open_settings(config: &Path, enabled_features: &str) -> TanagerResult<SiteSettings> {
    let mut settings = SiteSettings::open(config)?;
    settings.features.enable(enabled_features)?;
    Ok(settings)
}

fn serve(
    settings: &SiteSettings,
    config: &Path,
    enabled_features: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    // Single-threaded, because an entry VM has a quarter of a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let node = JobNode::spawn(settings.clone(), crate::VERSION).await?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => log_reload(settings, config, enabled_features),
            }
        }
        node.stop().await;
        Ok(())
    })
}

/// Logs whether the settings file has changed. Changes take effect only at the next start of the
/// process.
fn log_reload(settings: &SiteSettings, config: &Path, enabled_features: &str) {
    match open_settings(config, enabled_features) {
        Ok(new) if new == *settings => log::info!("event=reload changed=false"),
        Ok(_) => log::warn!("event=reload changed=true effect=at_next_start"),
        Err(error) => log::error!("event=reload error={error:?}"),
    }
}
