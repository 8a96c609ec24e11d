package keyring

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Public is the public key of a named signer.
type Public struct {
	name string
	key  ed25519.PublicKey
}

// Name returns the signer's name.
func (p Public) Name() string { return p.name }

// String formats the key as name:base64.
func (p Public) String() string {
	return p.name + ":" + base64.StdEncoding.EncodeToString(p.key)
}

// ParsePublic parses a public key written as name:base64.
func ParsePublic(text string) (Public, error) {
	name, raw, err := decodeKey(text, ed25519.PublicKeySize)
	if err != nil {
		return Public{}, errors.Wrap(err, "public key")
	}
	return Public{name: name, key: raw}, nil
}

// Secret is the private key of a named signer.
type Secret struct {
	name string
	key  ed25519.PrivateKey
}

// Generate returns a new key for the named signer.
func Generate(name string) (Secret, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return Secret{}, errors.Wrap(err, "generate key")
	}
	return Secret{name: name, key: key}, nil
}

// ParseSecret parses a private key written as name:base64, where base64 encodes the seed.
func ParseSecret(text string) (Secret, error) {
	name, raw, err := decodeKey(strings.TrimSpace(text), ed25519.SeedSize)
	if err != nil {
		return Secret{}, errors.Wrap(err, "secret key")
	}
	return Secret{name: name, key: ed25519.NewKeyFromSeed(raw)}, nil
}

// Name returns the signer's name.
func (s Secret) Name() string { return s.name }

// Public returns the public key.
func (s Secret) Public() Public {
	return Public{name: s.name, key: s.key.Public().(ed25519.PublicKey)}
}

// String formats the private key as name:base64, where base64 encodes the seed.
func (s Secret) String() string {
	return s.name + ":" + base64.StdEncoding.EncodeToString(s.key.Seed())
}

// Sign returns the signature of msg.
func (s Secret) Sign(msg []byte) Signature {
	return Signature{Signer: s.name, Sig: ed25519.Sign(s.key, msg)}
}

// Signature is a signature with the name of its signer.
type Signature struct {
	Signer string `json:"signer"`
	Sig    []byte `json:"sig"`
}

// Ring is a set of trusted public keys. A signer may have several, so that keys can be rotated.
type Ring struct {
	keys map[string][]ed25519.PublicKey
}

// NewRing returns a ring that trusts the given keys.
func NewRing(keys ...Public) *Ring {
	r := &Ring{keys: make(map[string][]ed25519.PublicKey)}
	for _, k := range keys {
		r.keys[k.name] = append(r.keys[k.name], k.key)
	}
	return r
}

// Verify reports whether sig was made over msg by a trusted key of its signer.
func (r *Ring) Verify(msg []byte, sig Signature) bool {
	for _, k := range r.keys[sig.Signer] {
		if ed25519.Verify(k, msg, sig.Sig) {
			return true
		}
	}
	return false
}

// CountSigners returns the number of distinct signers with a valid signature over msg.
func (r *Ring) CountSigners(msg []byte, sigs []Signature) int {
	seen := make(map[string]bool)
	for _, s := range sigs {
		if !seen[s.Signer] && r.Verify(msg, s) {
			seen[s.Signer] = true
		}
	}
	return len(seen)
}

func decodeKey(text string, size int) (string, []byte, error) {
	name, enc, ok := strings.Cut(text, ":")
	if !ok || name == "" {
		return "", nil, errors.New("want name:base64")
	}
	raw, err := base64.StdEncoding.DecodeString(enc)
	if err != nil {
		return "", nil, errors.Wrapf(err, "key of %s", name)
	}
	if len(raw) != size {
		return "", nil, &LengthError{name: name, length: len(raw), expected: size}
	}
	return name, raw, nil
}

// LengthError reports a key of the wrong length in bytes.
type LengthError struct {
	name             string
	length, expected int
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("key of %s has %d bytes, want %d", e.name, e.length, e.expected)
}
