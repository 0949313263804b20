//! Which VMs to hold, and how work moves before a reclaim lands. Pure.

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
