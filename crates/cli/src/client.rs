//! Calls to the operator address of a router.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use briarhall_net::Call;
use briarhall_net::Executor;
use briarhall_net::HttpClient;
use briarhall_net::HttpError;
use briarhall_net::read_limited;
use briarhall_types::Problem;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::Args;
use crate::error::CommandError;

/// Longer than a router waits until a change is in force.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Client of one router.
#[derive(Debug)]
pub struct Client {
    executor: Executor,
    http: HttpClient,
    router: SocketAddr,
    key: String,
}

impl Client {
    /// Creates a client from the command line.
    ///
    /// # Errors
    ///
    /// Returns an error when the router or the key is not given.
    pub fn new(args: &Args) -> Result<Self, CommandError> {
        let missing = |flag: &str| {
            CommandError::Usage(format!("`{flag}` is missing; add it before the command"))
        };
        let router = args.router.ok_or_else(|| missing("--router"))?;
        let path = args.key_file.clone().ok_or_else(|| missing("--key-file"))?;
        let key =
            fs::read_to_string(&path).map_err(|source| CommandError::Read { path, source })?;
        let executor = Executor::default();
        Ok(Self {
            http: HttpClient::new(executor.clone()),
            executor,
            router,
            key: key.trim().to_owned(),
        })
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error when the router does not answer or refuses.
    pub fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        self.call(Call::get(self.router, path))
    }

    /// Puts a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error when the router does not answer or refuses.
    pub fn put<B, T>(&self, path: &str, body: &B) -> Result<T, CommandError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.call(Call::new(Method::PUT, self.router, path).json(body))
    }

    /// Posts a request without a body.
    ///
    /// # Errors
    ///
    /// Returns an error when the router does not answer or refuses.
    pub fn post(&self, path: &str) -> Result<Value, CommandError> {
        self.call(Call::post(self.router, path))
    }

    fn call<T>(&self, call: Call) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let address = self.router;
        let call = call.header("authorization", format!("Bearer {}", self.key));
        let exchange = async {
            let reply = self.http.send(call, REQUEST_TIMEOUT).await?;
            let code = reply.status();
            let text = read_limited(reply.into_body(), MAX_REPLY_BYTES).await;
            let text = text.map_err(|e| HttpError::Broken {
                address,
                reason: e.to_string(),
            })?;
            Ok::<_, HttpError>((code, text))
        };
        let (code, text) = self.executor.block_on(exchange)?;
        let malformed = |e: serde_json::Error| HttpError::Malformed {
            address,
            reason: e.to_string(),
        };
        if code.is_success() {
            let text = if text.is_empty() {
                b"null".as_slice()
            } else {
                &text
            };
            return Ok(serde_json::from_slice(text).map_err(malformed)?);
        }
        let problem = serde_json::from_slice::<Problem>(&text).map_err(malformed)?;
        Err(CommandError::Refused(problem))
    }
}
