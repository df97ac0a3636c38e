//! Resource use of an idle VM: processor, memory and control traffic.
//!
//! The limits were set by the users, for a deployment of its current size.

use crate::support::{
    self,
    measure::{
        peak_memory_kb,
        processor_seconds, //
    },
};
use std::{
    thread,
    time::Duration, //
};

/// Processor use, as a share of a core.
const MAX_CORE_SHARE: f64 = 0.023;

/// Peak memory.
const MAX_MEMORY_KB: u64 = 32 * 1024;

/// Control traffic that a VM receives and answers.
const MAX_BYTES_PER_SECOND: f64 = 15_000.0;

/// Time over which the use is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

#[test]
fn idle_vm_stays_within_resource_limits() {
    let system = support::system("budget")
        .vms(10)
        .servers(9)
        .shards(1024)
        .start();
    thread::sleep(Duration::from_secs(2));
    let process_ids: Vec<u32> = system.vms.iter().map(|vm| vm.process.id()).collect();
    let processor_before: Vec<f64> = process_ids
        .iter()
        .map(|&id| processor_seconds(id))
        .collect();
    let traffic_before: Vec<u64> = system.vms.iter().map(|vm| vm.peers.byte_count()).collect();
    thread::sleep(MEASUREMENT_DURATION);
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    for (index, vm) in system.vms.iter().enumerate() {
        let core_share =
            (processor_seconds(process_ids[index]) - processor_before[index]) / seconds;
        let bytes_per_second = (vm.peers.byte_count() - traffic_before[index]) as f64 / seconds;
        let memory_kb = peak_memory_kb(process_ids[index]);
        println!(
            "vm-{index}: {:.2}% of a core, {memory_kb} kB, {bytes_per_second:.0} bytes/s",
            core_share * 100.0
        );
        assert!(
            core_share < MAX_CORE_SHARE,
            "vm-{index} uses {:.2}% of a core",
            core_share * 100.0
        );
        assert!(memory_kb < MAX_MEMORY_KB, "vm-{index} uses {memory_kb} kB");
        assert!(
            bytes_per_second < MAX_BYTES_PER_SECOND,
            "vm-{index} receives and answers {bytes_per_second:.0} bytes/s"
        );
    }
}
