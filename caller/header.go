package caller

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanHeader returns a copy of h without the headers that concern one connection.
func CleanHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
