package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/pipeline"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const limit = 4

// origin is a server whose responses are told by the queries of the requests, and which records what runs.
type origin struct {
	mu               sync.Mutex
	running, most    int
	alone            bool           // a request that must run alone is running
	crowded          bool           // a request ran beside one that must run alone
	ran              map[string]int // by the number of the request
	canceled         map[string]bool
	address          string
	server           *http.Server
	release, started chan struct{}
}

// newOrigin returns a server with pipelining, newPlainOrigin one without.
func newOrigin(t testing.TB) *origin {
	p := pipeline.New(limit, func(r *http.Request) bool { return r.Method == http.MethodGet }, func() {})
	return startOrigin(t, func(server *http.Server, ln net.Listener) net.Listener {
		p.Attach(server)
		return p.Listen(ln)
	})
}

func newPlainOrigin(t testing.TB) *origin {
	return startOrigin(t, func(_ *http.Server, ln net.Listener) net.Listener { return ln })
}

func startOrigin(t testing.TB, attach func(*http.Server, net.Listener) net.Listener) *origin {
	o := &origin{ran: make(map[string]int), canceled: make(map[string]bool), release: make(chan struct{}), started: make(chan struct{}, 100)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.address = ln.Addr().String()
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: 500 * time.Millisecond}
	ln = attach(o.server, ln)
	go func() { _ = o.server.Serve(ln) }()
	t.Cleanup(func() { _ = o.server.Close() })
	return o
}

func (o *origin) begin(number string, alone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran[number]++
	o.crowded = o.crowded || o.alone || alone && o.running > 0
	o.alone = o.alone || alone
	o.running++
	o.most = max(o.most, o.running)
}

func (o *origin) end(alone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
	if alone {
		o.alone = false
	}
}

// content returns the body of the response to a request.
func content(number string, size int) []byte {
	return bytes.Repeat([]byte(number+";"), size)
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	number := q.Get("n")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	alone := req.Method != http.MethodGet
	o.begin(number, alone)
	defer o.end(alone)
	ms, _ := strconv.Atoi(q.Get("ms"))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-req.Context().Done():
		o.mu.Lock()
		o.canceled[number] = true
		o.mu.Unlock()
	}
	if q.Get("wait") != "" {
		o.started <- struct{}{}
		<-o.release
	}
	size, _ := strconv.Atoi(q.Get("size"))
	status := http.StatusOK
	switch q.Get("end") {
	case "close":
		w.Header().Set("Connection", "close")
	case "fail":
		status = http.StatusBadGateway
	case "abort":
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Number", number)
	w.Header().Set("Received", strconv.Itoa(len(body)))
	if q.Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(content(number, size))))
	}
	w.WriteHeader(status)
	data := content(number, size)
	for len(data) > 0 {
		n := min(len(data), 10_000)
		if _, err := w.Write(data[:n]); err != nil {
			panic(http.ErrAbortHandler)
		}
		if q.Get("chunked") != "" {
			_ = http.NewResponseController(w).Flush()
			w.Header().Set(http.TrailerPrefix+"Sum", number)
		}
		data = data[n:]
	}
}

// sent is one request that a test sends.
type sent struct {
	number, method, end, chunked string
	ms, size, body               int
	closes                       bool // the client asks for the close of the connection
}

func (s sent) String() string {
	line := fmt.Sprintf("%s /?n=%s&ms=%d&size=%d&end=%s&chunked=%s HTTP/1.1\r\nHost: h\r\n", s.method, s.number, s.ms, s.size, s.end, s.chunked)
	if s.closes {
		line += "Connection: close\r\n"
	}
	if s.method == http.MethodPost {
		line += fmt.Sprintf("Content-Length: %d\r\n", s.body)
	}
	return line + "\r\n" + strings.Repeat("b", s.body)
}

func drawRequest(t *rapid.T, i int) sent {
	s := sent{
		number: strconv.Itoa(i),
		method: rapid.SampledFrom([]string{"GET", "GET", "GET", "GET", "POST", "DELETE"}).Draw(t, "method"),
		end:    rapid.SampledFrom([]string{"", "", "", "", "", "", "fail", "close", "abort"}).Draw(t, "end"),
		ms:     rapid.SampledFrom([]int{0, 0, 1, 5, 15}).Draw(t, "ms"),
		size:   rapid.SampledFrom([]int{0, 1, 100, 100_000}).Draw(t, "size"),
		closes: rapid.IntRange(0, 19).Draw(t, "closes") == 0,
	}
	if rapid.Bool().Draw(t, "chunked") {
		s.chunked = "1"
	}
	if s.method == http.MethodPost {
		s.body = rapid.SampledFrom([]int{0, 10, 50_000}).Draw(t, "body")
	}
	return s
}

// write sends the requests in pieces.
func write(t *rapid.T, c net.Conn, text string) {
	for len(text) > 0 {
		n := min(len(text), rapid.SampledFrom([]int{1, 7, 60, 500, 5000, 100_000}).Draw(t, "piece"))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return // the server has closed the connection
		}
		if rapid.Bool().Draw(t, "pause") {
			time.Sleep(time.Millisecond)
		}
		text = text[n:]
	}
}

// TestResponsesComeInOrder guards against responses that come in another order than their requests, or not byte for byte, against requests that run
// beside one that must run alone, twice, or in too great a number, and against a request that gets no response though it ran before its connection
// was closed by an earlier response.
func TestResponsesComeInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o, t := newOrigin(t), rt
		defer func() { _ = o.server.Close() }()
		var requests []sent
		var text strings.Builder
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			requests = append(requests, drawRequest(t, i))
			text.WriteString(requests[i].String())
		}
		c, err := net.Dial("tcp", o.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		written := make(chan struct{})
		text2 := text.String()
		pieces := rapid.Bool().Draw(t, "pieces")
		go func() {
			defer close(written)
			if !pieces {
				_, _ = io.WriteString(c, text2) // fails if the server closes the connection
			}
		}()
		if pieces {
			write(t, c, text2)
		}
		answered, aborted := readResponses(t, c, requests)
		_ = c.Close()
		<-written
		checkRuns(t, o, requests, answered, aborted)
	})
}

// readResponses reads responses until the connection is closed, and returns how many were whole and whether the next one was cut.
func readResponses(t *rapid.T, c net.Conn, requests []sent) (answered int, aborted bool) {
	br := bufio.NewReader(c)
	for i, s := range requests {
		resp, err := http.ReadResponse(br, &http.Request{Method: s.method})
		if err != nil {
			return i, s.end == "abort"
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("response %d is cut: %v", i, err)
		}
		status := http.StatusOK
		if s.end == "fail" {
			status = http.StatusBadGateway
		}
		if resp.StatusCode != status || resp.Header.Get("Number") != s.number || resp.Header.Get("Received") != strconv.Itoa(s.body) || !bytes.Equal(data, content(s.number, s.size)) {
			t.Fatalf("response to request %d: status %d, number %s, %d bytes", i, resp.StatusCode, resp.Header.Get("Number"), len(data))
		}
		if s.chunked != "" && s.size > 0 && resp.Trailer.Get("Sum") != s.number {
			t.Fatalf("response to request %d has trailer %v", i, resp.Trailer)
		}
		if resp.Close {
			return i + 1, false
		}
	}
	return len(requests), false
}

// checkRuns compares what ran with what was answered.
func checkRuns(t *rapid.T, o *origin, requests []sent, answered int, aborted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.crowded || o.most > limit {
		t.Fatalf("%d requests ran at a time, beside one that must run alone: %v", o.most, o.crowded)
	}
	firstClose := len(requests)
	for i, s := range requests {
		if s.end == "close" || s.closes || s.end == "abort" {
			firstClose = i
			break
		}
	}
	if answered < firstClose {
		t.Fatalf("%d responses, want at least %d", answered, firstClose)
	}
	for i, s := range requests {
		ran := o.ran[s.number]
		switch {
		case ran > 1:
			t.Fatalf("request %d ran %d times", i, ran)
		case i < answered && ran == 0:
			t.Fatalf("request %d did not run and is answered", i)
		case i >= answered && ran > 0 && !aborted:
			t.Fatalf("request %d ran and is not answered", i)
		case i > firstClose && ran > 0 && s.method != http.MethodGet:
			t.Fatalf("request %d ran behind the close of its connection", i)
		case i > firstClose+limit-1 && ran > 0:
			t.Fatalf("request %d ran %d places behind the close of its connection", i, i-firstClose)
		}
	}
}

// TestRequestsRunBesideASlowOne guards against requests that wait for a response in front of them before they run.
func TestRequestsRunBesideASlowOne(t *testing.T) {
	is := is.New(t)
	o := newOrigin(t)
	c, err := net.Dial("tcp", o.address)
	is.NoErr(err)
	defer c.Close()
	for i := range limit + 1 {
		_, err = fmt.Fprintf(c, "GET /?n=%d&wait=1 HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	for range limit {
		<-o.started
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(o.started), 0) // no more than the limit
	close(o.release)
	<-o.started
}

// TestClientThatLeavesCancelsItsRequests guards against work for a client that has left.
func TestClientThatLeavesCancelsItsRequests(t *testing.T) {
	is := is.New(t)
	o := newOrigin(t)
	c, err := net.Dial("tcp", o.address)
	is.NoErr(err)
	for i := range limit + 2 {
		_, err = fmt.Fprintf(c, "GET /?n=%d&ms=5000 HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	is.NoErr(c.Close())
	time.Sleep(300 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	is.Equal(len(o.ran), limit)
	is.Equal(len(o.canceled), limit)
}

// TestHeadThatDoesNotEndTimesOut guards against a connection that is kept open by the start of a request that was read ahead.
func TestHeadThatDoesNotEndTimesOut(t *testing.T) {
	is := is.New(t)
	o := newOrigin(t)
	c, err := net.Dial("tcp", o.address)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /?n=1&ms=50 HTTP/1.1\r\nHost: h\r\n\r\nGET /?n=2 HTTP/1.1\r\nHo")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.Copy(io.Discard, c)
	is.NoErr(err) // the server has closed the connection
}

// TestOddHeadsAreServedAsWithoutPipelining guards against a request that is read in one way ahead of its turn and in another way in its turn.
func TestOddHeadsAreServedAsWithoutPipelining(t *testing.T) {
	const first = "GET /?n=0&ms=100 HTTP/1.1\r\nHost: h\r\n\r\n"
	const last = "GET /?n=2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	tests := []struct{ name, text string }{
		{"bare line feeds", "GET /?n=1 HTTP/1.1\nHost: h\n\n"},
		{"an empty line before", "\r\nGET /?n=1 HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"chunks", "POST /?n=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"expect", "POST /?n=1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"},
		{"an upgrade", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"},
		{"no host", "GET /?n=1 HTTP/1.1\r\n\r\n"},
		{"two hosts", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"},
		{"a malformed host", "GET /?n=1 HTTP/1.1\r\nHost: a b\r\n\r\n"},
		{"a malformed header", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n"},
		{"a malformed value", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n"},
		{"a folded header", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n"},
		{"a folded host", "GET /?n=1 HTTP/1.1\r\nHost:\r\n h\r\n\r\n"},
		{"two lengths", "POST /?n=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
		{"different lengths", "POST /?n=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
		{"both lengths", "POST /?n=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"a body of a safe request", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
		{"an absolute target", "GET http://h/?n=1 HTTP/1.1\r\nHost: i\r\n\r\n"},
		{"any target", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"a tunnel", "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\n"},
		{"an older version", "GET /?n=1 HTTP/1.0\r\nHost: h\r\n\r\n"},
		{"no version", "GET /?n=1\r\n\r\n"},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
		{"a head beyond all", "GET /?n=1 HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 2<<20) + "\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(newOrigin(t).exchange(first+tt.text+last), newPlainOrigin(t).exchange(first+tt.text+last))
		})
	}
}

// exchange sends the text on one connection, and returns the statuses of the responses with the numbers of their requests.
func (o *origin) exchange(text string) (responses []string) {
	c, err := net.Dial("tcp", o.address)
	if err != nil {
		return nil
	}
	defer c.Close()
	go func() { _, _ = io.WriteString(c, text) }() // fails if the server closes the connection
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return responses
		}
		data, _ := io.ReadAll(resp.Body) // the connection may be reset behind a refusal
		responses = append(responses, fmt.Sprint(resp.Status, resp.Header.Get("Number"), resp.Close, len(data)))
	}
}

// TestConnectionsWithRequestsAreNotIdle guards against a stop that closes a connection between two of its requests, the second of which runs already.
func TestConnectionsWithRequestsAreNotIdle(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var states []http.ConnState
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(30 * time.Millisecond) }),
		ConnState: func(_ net.Conn, s http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			states = append(states, s)
		},
	}
	p := pipeline.New(limit, func(*http.Request) bool { return true }, func() {})
	p.Attach(server)
	go func() { _ = server.Serve(p.Listen(ln)) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	const requests = 6
	_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
	is.NoErr(err)
	br := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	mu.Lock()
	defer mu.Unlock()
	idle := 0
	for _, s := range states {
		if s == http.StateIdle {
			idle++
		}
	}
	is.Equal(idle, 1) // after the last response only
}

// TestLongLineInTwoPackets guards against a request without an answer: where a line leaves one byte of room in the buffer of the server, the server
// reads a single byte also while it doesn't serve a request. A second request follows, so that the same holds for bytes that were read ahead.
func TestLongLineInTwoPackets(t *testing.T) {
	const serverBuffer = 4096
	line := func(number string) string {
		return "GET /?n=" + number + "&x=" + strings.Repeat("a", 2*serverBuffer) + " HTTP/1.1\r\nHost: s.test\r\n\r\n"
	}
	is := is.New(t)
	o := newOrigin(t)
	c, err := net.Dial("tcp", o.address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	br := bufio.NewReader(c)
	for _, number := range []string{"1", "2"} {
		head := line(number)
		_, err = io.WriteString(c, head[:serverBuffer-1])
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
		_, err = io.WriteString(c, head[serverBuffer-1:])
		is.NoErr(err)
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
}
