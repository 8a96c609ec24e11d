// Package keyring makes, encodes and checks the ed25519 keys with which operators sign off bundles.
package keyring
