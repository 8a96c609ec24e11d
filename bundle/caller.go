package bundle

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Caller is a caller with its keys, its priority and its rate limit, which applies over the whole fleet.
type Caller struct{ spec CallerSpec }

// Name returns the caller's name.
func (c *Caller) Name() string { return c.spec.Name }

// Priority returns the priority that replaces that of the class for the caller's requests; ok is false if the caller has none.
func (c *Caller) Priority() (priority int, ok bool) {
	if c.spec.Priority == nil {
		return 0, false
	}
	return *c.spec.Priority, true
}

// Limited reports whether the caller has a rate limit.
func (c *Caller) Limited() bool { return c.spec.Rate > 0 }

// Rate returns the caller's rate limit in requests per second, or 0 if there is none.
func (c *Caller) Rate() float64 { return c.spec.Rate }

// Burst returns how many requests the caller may send at once.
func (c *Caller) Burst() float64 { return max(1, c.spec.Burst) }

// keyDigest is the SHA-256 digest of a caller's key.
type keyDigest [sha256.Size]byte

// KeyDigest returns the digest of a caller's key in the form that a bundle holds.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// parseKeyDigest decodes a digest. The error doesn't quote the text, which may be a key in clear.
func parseKeyDigest(text string) (keyDigest, error) {
	var digest keyDigest
	if hex.DecodedLen(len(text)) != len(digest) || len(text)%2 != 0 {
		return digest, errors.New("digest has the wrong length")
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return digest, errors.New("digest is not hexadecimal")
	}
	return digest, nil
}

// LimitedCallers returns the number of callers that have a rate limit.
func (b *Bundle) LimitedCallers() int { return b.limited }

// RequiresKeys reports whether requests must carry a key, except on public routes: any caller has one, or the policy says so.
func (b *Bundle) RequiresKeys() bool { return b.policy.spec.Keyed || len(b.keys) > 0 }

// HasKeys reports whether any caller has a key.
func (b *Bundle) HasKeys() bool { return len(b.keys) > 0 }

// Authenticate returns the caller to which the key belongs. The digest of the key is looked up, so that the time of the lookup tells
// nothing of the keys.
func (b *Bundle) Authenticate(key string) (*Caller, bool) {
	if key == "" {
		return nil, false
	}
	c, ok := b.keys[sha256.Sum256([]byte(key))]
	return c, ok
}

// compileCallers adds the callers to the tables; their keys have been checked.
func (b *Bundle) compileCallers(specs []CallerSpec) {
	b.keys = make(map[keyDigest]*Caller)
	for _, spec := range specs {
		keys := spec.Keys
		spec.Keys = nil // the table has them
		c := &Caller{spec}
		b.callers[spec.Name] = c
		if c.Limited() {
			b.limited++
		}
		for _, text := range keys {
			if digest, err := parseKeyDigest(text); err == nil {
				b.keys[digest] = c
			}
		}
	}
}
