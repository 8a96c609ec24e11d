package upstream

import (
	"net/http"
	"strings"

	"github.com/jasminevane/jasminevane/outcome"
)

// ReservedPrefix begins the names of the headers by which nodes tell each other of a request. Nobody else may set one.
const ReservedPrefix = "Hop-"

// hopHeaders are the hop-by-hop headers, which a proxy does not forward.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanHeader returns a copy of the header of a request or a response without what concerns only one connection or only nodes. A proxy
// doesn't forward it.
func CleanHeader(h http.Header) http.Header {
	cleaned := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			cleaned.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		cleaned.Del(name)
	}
	removeReserved(cleaned)
	return cleaned
}

// cleanTrailer returns a copy of the trailer of a response without what only the system may say.
func cleanTrailer(h http.Header) http.Header {
	cleaned := h.Clone()
	cleaned.Del(outcome.HeaderName)
	removeReserved(cleaned)
	return cleaned
}

func removeReserved(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ReservedPrefix) {
			delete(h, name)
		}
	}
}
