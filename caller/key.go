package caller

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// Header and scheme with which a request carries the key of its caller.
const (
	authorizationHeader = "Authorization"
	keyScheme           = "Bearer"
)

// staleRetryAfter is the time after which a node has mostly confirmed its version again.
const staleRetryAfter = 500 * time.Millisecond

// shownDigestLength is the number of hexadecimal digits of the digest of an unknown key that an error shows, enough to tell keys apart.
const shownDigestLength = 8

// checkKey authenticates the request if the bundle requires keys. If it doesn't, a key that the request carries tells that a newer bundle may: no
// upstream gets to see the key, and a node that may lack that bundle refuses the request. The error is an *outcome.Error.
func (d Dialect) checkKey(f Fleet, b *bundle.Bundle, r *Request) error {
	switch {
	case b.RequiresKeys():
		return d.authenticate(f, b, r)
	case !d.ReservesKeys || !removeKey(r.HTTP.Header) || r.Match.Public():
		return nil
	case !f.ExpectsNoKeys() || !confirmsNewest(f, b):
		return staleBundle("a newer bundle may require the key of the request")
	}
	return nil
}

// removeKey removes the header Authorization unless it is of another scheme than that of keys, and reports whether it did.
func removeKey(h http.Header) bool {
	values := h.Values(authorizationHeader)
	if !slices.ContainsFunc(values, mayHoldKey) {
		return false
	}
	h.Del(authorizationHeader)
	return true
}

// mayHoldKey reports whether the value of a header Authorization may hold a key, well-formed or not.
func mayHoldKey(value string) bool {
	scheme, credentials, _ := strings.Cut(value, " ")
	return strings.EqualFold(scheme, keyScheme) || strings.TrimSpace(credentials) == ""
}

// confirmsNewest reports whether the node has confirmed that no newer bundle exists than b. It looks at the bundle in force last: one that came
// into force meanwhile may be the one that is confirmed.
func confirmsNewest(f Fleet, b *bundle.Bundle) bool { return f.ConfirmedNewest() && f.Bundle() == b }

// authenticate identifies the caller by the key of the request and removes from the header the key and what only the system may say of the
// caller. The bundle has keys. The error is an *outcome.Error.
func (d Dialect) authenticate(f Fleet, b *bundle.Bundle, r *Request) error {
	key, malformed := requestKey(r.HTTP.Header)
	r.HTTP.Header.Del(authorizationHeader)
	if d.IdentityHeader != "" {
		r.HTTP.Header.Del(d.IdentityHeader)
	}
	r.Caller = ""
	c, known := b.Authenticate(key)
	switch {
	case key != "" && !f.TrustsKeys():
		return staleBundle("the node is out of touch with the store, so that the key may have been revoked")
	case known:
		r.identify(c)
		return nil
	case r.Match.Public():
		return nil
	case malformed != nil:
		return outcome.NewError(outcome.NotRun, outcome.CodeUnauthenticated, malformed)
	case !confirmsNewest(f, b):
		return staleBundle("a newer bundle may have key " + shownDigest(key))
	}
	return outcome.NewError(outcome.NotRun, outcome.CodeUnauthenticated, errors.Errorf("no caller has key %s", shownDigest(key)))
}

// identify sets the caller to which the key of the request belongs.
func (r *Request) identify(c *bundle.Caller) {
	r.Caller, r.Identified = c.Name(), true
	r.Priority, r.Prioritized = c.Priority()
}

// requestKey returns the key in the header of a request. The error tells why there is none; it doesn't quote the header.
func requestKey(h http.Header) (string, error) {
	values := h.Values(authorizationHeader)
	if len(values) == 0 {
		return "", errors.New("the request has no key")
	}
	if len(values) > 1 {
		return "", errors.Errorf("the request has %d headers %s", len(values), authorizationHeader)
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, keyScheme) || key == "" {
		return "", errors.Errorf("the header %s holds no key of the scheme %s", authorizationHeader, keyScheme)
	}
	return key, nil
}

// shownDigest returns the start of the digest of a key.
func shownDigest(key string) string {
	return "of digest " + bundle.KeyDigest(key)[:shownDigestLength]
}

// staleBundle returns the refusal of a request on whose key a newer bundle may decide otherwise.
func staleBundle(reason string) error {
	e := outcome.NewError(outcome.NotRun, outcome.CodeStaleBundle, errors.New(reason))
	e.RetryAfter = staleRetryAfter
	return e
}
