//! Reads, writes and trims the chains of claims in the object API.

use std::time::Duration;

use async_io::Timer;
use briarhall_objects::FleetApi;
use briarhall_objects::PlatformError;
use briarhall_objects::Precondition;
use briarhall_policy::claims::Segment;
use briarhall_policy::claims::SegmentNumber;
use briarhall_policy::claims::Step;
use briarhall_policy::claims::chain_kind;
use briarhall_policy::claims::segment_name;
use briarhall_policy::claims::segment_number;
use serde_json::Value;

use super::TaskContext;
use crate::control::ChainEvent;
use crate::control::Msg;

const TRIM_INTERVAL: Duration = Duration::from_secs(10);
const CHAIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two writes of one chain, so that all chains together
/// leave spare capacity in the several hundred writes per second that the
/// platform takes.
const WRITE_GAP: Duration = Duration::from_millis(50);

impl<P> TaskContext<P>
where
    P: FleetApi,
{
    /// Executes the steps of a chain until it is idle.
    pub(super) async fn drive_chain(self, range: u64) {
        let kind = chain_kind(range);
        loop {
            let step = self.control.ask(|reply| Msg::ChainStep(range, reply)).await;
            let event = match step {
                Step::Idle => return,
                Step::Load => self.load_chain(&kind).await,
                Step::Write(number, segment) => {
                    let gap = Timer::after(WRITE_GAP);
                    let event = self.write_segment(&kind, number, &segment).await;
                    if let Some(event) = event {
                        self.control.send(Msg::ChainEvent(range, event)).await;
                    }
                    // Claims submitted during the gap share the next write.
                    gap.await;
                    continue;
                }
                Step::Read(number) => self.read_segment(&kind, number).await,
            };
            match event {
                Some(event) => self.control.send(Msg::ChainEvent(range, event)).await,
                None => {
                    Timer::after(CHAIN_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn load_chain(&self, kind: &str) -> Option<ChainEvent> {
        // The listing may be stale; the conditional write then fails.
        let listing = self.platform.list::<Segment>(kind, 0).await.ok()?;
        let segments = listing.items.into_iter().filter_map(|object| {
            let number = segment_number(&object.name)?;
            Some((number, object.value))
        });
        Some(ChainEvent::Loaded(segments.collect()))
    }

    async fn write_segment(
        &self,
        kind: &str,
        number: SegmentNumber,
        segment: &Segment,
    ) -> Option<ChainEvent> {
        let name = segment_name(number);
        let written = self
            .platform
            .put(kind, &name, Precondition::Absent, segment);
        match written.await {
            Ok(_) => Some(ChainEvent::Written),
            Err(PlatformError::Conflict { .. }) => Some(ChainEvent::NumberTaken),
            Err(e) if e.may_have_written() => Some(ChainEvent::OutcomeUnknown),
            Err(_) => {
                Timer::after(CHAIN_RETRY_PAUSE).await;
                Some(ChainEvent::NotWritten)
            }
        }
    }

    async fn read_segment(&self, kind: &str, number: SegmentNumber) -> Option<ChainEvent> {
        let name = segment_name(number);
        match self.platform.get::<Segment>(kind, &name).await {
            Ok(object) => Some(ChainEvent::Read(object.value)),
            Err(PlatformError::NotFound) => {
                // The read may be stale, so it is repeated; this limits the rate.
                Timer::after(CHAIN_RETRY_PAUSE).await;
                Some(ChainEvent::Absent)
            }
            Err(_) => None,
        }
    }

    pub(super) async fn trim_chains(self) {
        loop {
            Timer::after(TRIM_INTERVAL).await;
            for (range, number) in self.control.ask(Msg::ChainTrim).await {
                self.delete_segment(range, number).await;
            }
        }
    }

    async fn delete_segment(&self, range: u64, number: SegmentNumber) {
        let kind = chain_kind(range);
        let name = segment_name(number);
        let Ok(object) = self.platform.get::<Value>(&kind, &name).await else {
            return;
        };
        // Several routers may trim one chain; the first delete succeeds.
        let _gone = self.platform.delete(&kind, &name, object.version).await;
    }
}
