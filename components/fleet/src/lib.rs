//! Fleet planning: which VMs to hold, how many endpoints to order, and how to move streams off
//! endpoints before they are reclaimed. The code does no I/O and reads no clock.

mod capacity;
mod holding;
mod load;
mod moves;
mod purchase;
mod scaling;
mod sizing;

pub use capacity::{Fleet, Held, ScalingOrder, ScalingSpec};
pub use holding::{
    plan_holding, HallOffer, Holding, HoldingChange, HoldingPlanner, PoolNeed, VmClass,
};
pub use load::{Bearing, Load, LoadParts};
pub use moves::{delay_before_moves, plan_moves, Move, MovePlan, MoveRates, Stream, Target};
pub use purchase::{ListedVm, PurchaseAction, PurchaseEvent, Purchases};
pub use scaling::Scaler;
