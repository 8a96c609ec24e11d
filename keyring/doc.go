// Package keyring generates, encodes and verifies the ed25519 keys with which operators sign bundles.
package keyring
