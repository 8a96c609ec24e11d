package caller

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which a proxy does not forward.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanHeader returns a copy of h without hop-by-hop headers.
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
	return cleaned
}
