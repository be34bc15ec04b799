//! Reports about the configuration in force: its findings in the log, and its summary for operators.

use std::collections::BTreeMap;

use http::StatusCode;
use tanager_http::HttpResponse;
use tanager_jobs::ConfigFinding;
use tanager_jobs::ConfigSummary;
use tanager_jobs::DecodingAdjustment;
use tanager_jobs::ResourceAmount;
use tanager_jobs::UsualSizes;
use tanager_jobs::check_config;
use tanager_jobs::ids::PoolName;

use crate::admin::error_response;
use crate::admin::json_response;
use crate::context::NodeContext;
use crate::view::FleetView;

/// Maximum number of findings that are logged for one version. A wrong version of 190 workspaces
/// may have hundreds.
pub const MAX_LOGGED_FINDINGS: usize = 8;

/// Handles `GET /v1/config`: the version in force, with digests instead of keys.
pub(crate) fn handle(context: &NodeContext) -> HttpResponse {
    match summarize(&context.view()) {
        Some(summary) => json_response(&summary),
        None => error_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
    }
}

/// Returns the summary of the configuration in force; `None` if there is none yet.
pub fn summarize(view: &FleetView) -> Option<ConfigSummary> {
    let config = view.config.as_ref()?;
    let mut summary = ConfigSummary::of(config);
    summary.vms = vm_sizes(view);
    Some(summary)
}

/// Returns the sizes of the VMs by pool; `None` while no worker is known, as after a start.
fn vm_sizes(view: &FleetView) -> Option<BTreeMap<PoolName, Vec<ResourceAmount>>> {
    let mut sizes: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for worker in view.workers.values() {
        let pool = sizes.entry(worker.pool.clone()).or_default();
        pool.push(worker.capacity);
    }
    (!sizes.is_empty()).then_some(sizes)
}

/// Logs the findings about the configuration in force.
pub(crate) fn log_findings(context: &NodeContext, adjustments: &[DecodingAdjustment]) {
    let (config, vms) = {
        let view = context.view();
        (view.config.clone(), vm_sizes(&view))
    };
    let Some(config) = config else { return };
    let findings = check_config(&config, adjustments, vms.as_ref(), &UsualSizes::default());
    for line in finding_lines(config.version, &findings) {
        log::warn!("{line}");
    }
}

/// Returns the log lines about the findings of a version: the first ones, and the number of others.
pub fn finding_lines(version: u64, findings: &[ConfigFinding]) -> Vec<String> {
    let mut lines: Vec<_> = (findings.iter().take(MAX_LOGGED_FINDINGS))
        .map(|finding| {
            format!(
                "event=config_finding version={version} severity={} entry={:?} message={:?}",
                finding.severity, finding.entry, finding.message
            )
        })
        .collect();
    let omitted = findings.len() - lines.len();
    if omitted > 0 {
        lines.push(format!(
            "event=config_findings_omitted version={version} count={omitted}"
        ));
    }
    lines
}
