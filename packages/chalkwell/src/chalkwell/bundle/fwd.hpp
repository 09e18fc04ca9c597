// Forward declarations of the bundle module: signed bundles and their
// manifests.
#pragma once

namespace chalkwell::bundle {

struct Bundle;
struct Manifest;
struct ManifestFile;
struct Chunk;
struct KeyPair;
struct PublicKey;
struct SignedEnvelope;
class TrustedKeys;

}  // namespace chalkwell::bundle
