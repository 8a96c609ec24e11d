package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// kind tells what may be done with a request before its turn.
type kind int

const (
	parallel kind = iota // it may run beside earlier ones
	barrier              // it runs alone, in its turn
	opaque               // where its end is, or whether another request follows, is not known
)

// head is the head of a request as it was read from a connection.
type head struct {
	kind   kind
	req    *http.Request // nil if the head is opaque
	length int64         // of the body
}

// parseHead parses the bytes of a head, with its end. What net/http might read in another way is opaque.
func parseHead(data []byte) head {
	if bytes.Count(data, []byte("\n")) != bytes.Count(data, []byte("\r\n")) || bytes.Count(data, []byte("\r")) != bytes.Count(data, []byte("\n")) {
		return head{kind: opaque}
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil || !req.ProtoAtLeast(1, 1) || req.ProtoMajor != 1 || req.Method == http.MethodConnect || !validHeader(data, req) {
		return head{kind: opaque}
	}
	for _, name := range []string{"Transfer-Encoding", "Trailer", "Upgrade", "Expect"} {
		if _, ok := req.Header[name]; ok {
			return head{kind: opaque}
		}
	}
	if req.TransferEncoding != nil || req.Close || req.Header.Get("Connection") != "" && !strings.EqualFold(req.Header.Get("Connection"), "keep-alive") {
		return head{kind: opaque}
	}
	if req.ContentLength != 0 {
		return head{kind: barrier, req: req, length: req.ContentLength}
	}
	req.Body = http.NoBody
	return head{kind: parallel, req: req}
}

// validHeader reports whether the server accepts the header of the request. It answers others without passing them on.
func validHeader(data []byte, req *http.Request) bool {
	if hosts := bytes.Count(bytes.ToLower(data), []byte("\r\nhost:")); hosts != 1 || req.Host == "" || !httpguts.ValidHostHeader(req.Host) {
		return false
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}
