//! Load encoded in one byte on a coarse scale.

use crate::upstream::Load;

/// Steps of the scale. A count is rounded down to a step.
const STEPS: [u32; 16] = [0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 256];

/// A [`Load`] as two indices into the scale: running in the upper four bits,
/// waiting in the lower four.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LoadLevel(pub(crate) u8);

impl LoadLevel {
    /// Number of steps between two levels, the larger of the two counts.
    pub(crate) fn distance(self, other: Self) -> u8 {
        let running = (self.0 >> 4).abs_diff(other.0 >> 4);
        let waiting = (self.0 & 15).abs_diff(other.0 & 15);
        running.max(waiting)
    }

    /// Whether only one of the two levels has waiting work.
    pub(crate) fn waiting_differs(self, other: Self) -> bool {
        (self.0 & 15 == 0) != (other.0 & 15 == 0)
    }
}

impl From<Load> for LoadLevel {
    fn from(load: Load) -> Self {
        Self(step(load.running) << 4 | step(load.waiting))
    }
}

impl From<LoadLevel> for Load {
    fn from(level: LoadLevel) -> Self {
        Load {
            running: STEPS[usize::from(level.0 >> 4)],
            waiting: STEPS[usize::from(level.0 & 15)],
        }
    }
}

fn step(count: u32) -> u8 {
    let above = STEPS.partition_point(|step| *step <= count);
    u8::try_from(above - 1).unwrap_or(15)
}

/// Lowest four bytes of an upstream's key, used in load reports.
pub(crate) fn short_key(key: u64) -> u32 {
    (key & u64::from(u32::MAX)) as u32
}
