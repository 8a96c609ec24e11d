package fakeupstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

func startServer(t *testing.T, nodeHandler http.HandlerFunc) *Server {
	t.Helper()
	fakeNode := httptest.NewServer(nodeHandler)
	t.Cleanup(fakeNode.Close)
	s, err := Start(Config{ID: "i-1", Service: "s", Slots: 2, ResponseSize: 64, Protocol: Platform}, fakeNode.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func send(t *testing.T, s *Server, client *http.Client, tag, instance string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.ln.Addr().String()+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set("Request-Id", tag)
	req.Header.Set("Target-Instance", instance)
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestPlatformResponses(t *testing.T) {
	tests := []struct {
		name          string
		faults        Faults
		tag, instance string
		wantStatus    int // 0 for a connection error
		wantRun       bool
	}{
		{"well", Faults{}, "a", "i-1", http.StatusOK, true},
		{"early", Faults{EarlyResponseShare: 1}, "a", "i-1", http.StatusOK, true},
		{"another instance", Faults{}, "a", "i-2", http.StatusMisdirectedRequest, false},
		{"without an id", Faults{}, "", "i-1", http.StatusBadRequest, false},
		{"shed", Faults{ShedShare: 1}, "a", "i-1", http.StatusServiceUnavailable, false},
		{"failed", Faults{FailShare: 1}, "a", "i-1", http.StatusInternalServerError, true},
		{"reset", Faults{ResetShare: 1}, "a", "i-1", 0, true},
		{"cut", Faults{TruncateShare: 1}, "a", "i-1", 0, true},
		{"unframed", Faults{MalformedShare: 1}, "a", "i-1", 0, true},
		{"followed by another", Faults{ExtraResponseShare: 1}, "a", "i-1", http.StatusOK, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startServer(t, func(http.ResponseWriter, *http.Request) {})
			s.SetFaults(tt.faults)
			resp, body, err := send(t, s, &http.Client{Transport: &http.Transport{}}, tt.tag, tt.instance)
			is.Equal(len(s.Runs()) == 1, tt.wantRun)
			if tt.wantStatus == 0 {
				is.True(err != nil)
				is.True(s.Runs()[0].Aborted)
				return
			}
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.wantStatus)
			is.Equal(resp.Header.Get("Not-Executed") != "", !tt.wantRun)
			if tt.wantStatus == http.StatusOK {
				is.Equal(body, Body("a", 64))
				is.Equal(resp.Header.Get("Response-Seal"), Checksum(body))
			}
		})
	}
}

func TestPlatformResetsReusedConnections(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	s.SetFaults(Faults{ResetReusedShare: 1})
	client := &http.Client{Transport: &http.Transport{}}
	_, _, err := send(t, s, client, "a", "i-1")
	is.NoErr(err)
	_, _, err = send(t, s, client, "b", "i-1")
	is.True(err != nil)
	is.Equal(len(s.Runs()), 1)
}

func TestPlatformAnnouncesAndDeregisters(t *testing.T) {
	is := is.New(t)
	requests := make(chan string, 100)
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests <- r.URL.Path + " " + string(body)
	})
	firstRequest := <-requests
	is.True(strings.HasPrefix(firstRequest, "/v1/Instances.Heartbeat/i-1 "))
	is.True(strings.Contains(firstRequest, `"state":"ready","seq":1`))
	s.SetState(context.Background(), upstream.Draining)
	is.True(strings.Contains(<-requests, `"state":"draining"`))
	is.True(!s.DrainAckedAt().IsZero() && !s.DrainAckedAt().After(time.Now()))
	s.Deregister(context.Background())
	for request := range requests {
		if strings.HasPrefix(request, "/v1/Instances.Deregister/i-1") {
			return
		}
	}
}
