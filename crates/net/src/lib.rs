//! Infrastructure that all programs share: executor threads, HTTP over hyper,
//! timeouts, logs and metrics.
//!
//! This crate makes no scheduling or routing decisions: programs pass their own
//! handler to [`serve`] and interpret the answers of [`HttpClient`] themselves.

mod admission;
mod body;
mod byte_budget;
mod chunk_pace;
mod client;
mod exec;
mod framing;
mod head_limit;
mod logging;
mod merged_head;
mod metrics;
mod reply;
mod server;
mod sessions;
mod timeout;
mod upload;

pub use admission::Admission;
pub use admission::Admitted;
pub use admission::Client;
pub use admission::NoRoom;
pub use admission::Share;
pub use body::Body;
pub use body::BodyError;
pub use body::BodySender;
pub use body::CHANNEL_FRAMES;
pub use body::ReadBodyError;
pub use body::ReadWithinError;
pub use body::counted;
pub use body::read_from_client;
pub use body::read_limited;
pub use body::read_within;
pub use byte_budget::ByteBudget;
pub use byte_budget::ByteHold;
pub use byte_budget::ByteShare;
pub use client::Call;
pub use client::Connection;
pub use client::Exchange;
pub use client::FailurePoint;
pub use client::HttpClient;
pub use client::HttpError;
pub use client::MAX_REPLY_BYTES;
pub use client::Reading;
pub use client::enable_keepalive;
pub use exec::Executor;
pub use exec::SpawnThreadsError;
pub use exec::Threads;
pub use exec::TimerRuntime;
pub use framing::Framing;
pub use logging::LogError;
pub use logging::LogTarget;
pub use logging::Logging;
pub use logging::dropped_line;
pub use merged_head::is_merged_head;
pub use metrics::Metrics;
pub use metrics::MetricsError;
pub use metrics::MetricsService;
pub use reply::event;
pub use reply::json;
pub use reply::problem;
pub use reply::status;
pub use server::Handler;
pub use server::ServerOptions;
pub use server::bind;
pub use server::bind_bounded;
pub use server::serve;
pub use sessions::SessionLimits;
pub use sessions::Sessions;
pub use timeout::Elapsed;
pub use timeout::timeout;
