package caller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// refusingFleet refuses all requests.
type refusingFleet struct{ bundle *bundle.Bundle }

func (f refusingFleet) Bundle() *bundle.Bundle { return f.bundle }

func (refusingFleet) Admit(*caller.Request) error {
	return outcome.NewError(outcome.NotRun, outcome.CodeDraining, nil)
}

func (refusingFleet) Serve(context.Context, *caller.Request) (*upstream.Response, error) {
	return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, nil)
}

func (refusingFleet) RecordEnd(*caller.Request, int, outcome.Outcome, error, time.Duration) {}

// TestRefusalOfALargeRequestReachesItsCaller sends bodies that the server doesn't read, on connections that it closes after its response.
func TestRefusalOfALargeRequestReachesItsCaller(t *testing.T) {
	const bodyBytes, requests = 1 << 20, 100
	is := is.New(t)
	b, err := bundle.Parse("test", []byte(`
[policy]
signoffs = 1
key_retention = "10m"
retries = 0.1
link_bytes = "0B"
[[service]]
name = "s"
hosts = ["s.test"]
floor = 0.5
[[class]]
service = "s"
name = "book"
priority = 0
timeout = "3s"
[[route]]
service = "s"
prefix = "/"
method = "POST"
class = "book"
`))
	is.NoErr(err)
	e := echo.New()
	caller.Mount(e, caller.DefaultDialect(), refusingFleet{b}, 16<<20)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Connection", "close")
		e.ServeHTTP(w, req)
	}))
	defer srv.Close()
	for range requests {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s.test\r\nContent-Length: 1048576\r\n\r\n")
		is.NoErr(err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.Copy(conn, bytes.NewReader(make([]byte, bodyBytes))) // fails if the server stops reading
		}()
		time.Sleep(time.Millisecond)
		data, err := io.ReadAll(conn)
		is.NoErr(err)
		is.True(bytes.HasPrefix(data, []byte("HTTP/1.1 503 ")))
		_ = conn.Close()
		<-sent
	}
}
