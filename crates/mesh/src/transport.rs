//! Framed connections, which the caller opens with the digest of the mesh secret.

use async_net::TcpStream;
use briarhall_types::Digest;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use serde::Deserialize;
use serde::Serialize;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

const SECRET_DIGEST_BYTES: usize = 32;
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A framed connection that reads `In` and writes `Out`.
pub(crate) type Framed<In, Out> = Transport<Compat<TcpStream>, In, Out, Json<In, Out>>;

/// Sends the digest of the secret.
pub(crate) async fn send_secret(stream: &mut TcpStream, secret: &Digest) -> std::io::Result<()> {
    stream.write_all(&secret.to_bytes()).await
}

/// Reads a digest and returns whether it is that of the secret.
pub(crate) async fn received_secret(stream: &mut TcpStream, secret: &Digest) -> bool {
    let mut buf = [0; SECRET_DIGEST_BYTES];
    if stream.read_exact(&mut buf).await.is_err() {
        return false;
    }
    Digest::from_bytes(buf) == *secret
}

/// Wraps a connection in length-delimited frames of JSON.
pub(crate) fn framed<In, Out>(stream: TcpStream) -> Framed<In, Out>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let frames = tarpc::tokio_util::codec::Framed::new(stream.compat(), codec);
    tarpc::serde_transport::new(frames, Json::default())
}
