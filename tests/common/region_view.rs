//! The view of a region with targets of one service.

use std::net::SocketAddr;
use std::time::Duration;

use limpetstand::gateway::dialect::TargetEntry;
use limpetstand::gateway::platform_view::PlatformView;
use limpetstand::gateway::registry::KnownTarget;
use smol_str::SmolStr;

/// The service of the targets.
pub(crate) static SERVICE: SmolStr = SmolStr::new_static("s");

/// Returns the view of the region `here` with targets `t0`, `t1` and so on.
pub(crate) fn view(targets: u32, slots: u32) -> PlatformView {
    let mut view = PlatformView::default();
    view.region_by_data_centre.insert("a".into(), "here".into());
    for i in 0..targets {
        let entry = TargetEntry {
            service: SERVICE.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_centre: "a".into(),
            software_version: "v1".into(),
            slots,
            leaving: false,
            cold_for: Duration::ZERO,
            started_unix_ms: 1,
        };
        let known = KnownTarget {
            entry,
            cold_until: Duration::ZERO,
            missing_since: None,
        };
        view.targets.insert(format!("t{i}").into(), known);
    }
    view
}
