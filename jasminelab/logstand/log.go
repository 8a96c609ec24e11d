package logstand

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/platform"
	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

// Bounds of the service.
const (
	maxWait   = 30 * time.Second
	maxRecord = 8 << 20 // bytes
	maxPage   = 1000    // records
)

// Faults are the faults that the stand-in shows.
type Faults struct {
	Down      bool          `json:"down"`
	Slow      time.Duration `json:"slow"`      // delay of every call
	LoseShare float64       `json:"loseshare"` // share of appends whose answer is lost after the effect
}

type stream struct {
	first   platform.Offset
	entries []platform.Entry
	grown   chan struct{}
}

// Log is the stand-in; it implements platform.Log for use without a network.
type Log struct {
	mu        sync.Mutex
	streams   map[string]*stream
	faults    Faults
	retention time.Duration
	limiter   *rate.Limiter
	rnd       *rand.Rand
	appends   int
	reads     int
	peak      int // most appends within one second
	second    int64
	inSecond  int
}

// New returns an empty log that takes at most perSecond appends a second and keeps records for retention (0 for ever).
func New(perSecond int, retention time.Duration, seed uint64) *Log {
	return &Log{
		streams:   make(map[string]*stream),
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		rnd:       rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults changes the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts are the calls that the log has taken.
type Counts struct {
	Appends int `json:"appends"`
	Reads   int `json:"reads"`
	Peak    int `json:"peak"` // most appends within one second
}

// Counts returns the calls taken so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Appends: l.appends, Reads: l.reads, Peak: l.peak}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) expire(s *stream, now time.Time) {
	for l.retention > 0 && len(s.entries) > 0 && now.Sub(s.entries[0].Time) > l.retention {
		s.entries = s.entries[1:]
		s.first++
	}
}

// errorDown is the status of a service that is away.
type errorDown struct{}

func (errorDown) Error() string { return "log service is away" }

// errorBusy is the status of a service over its rate of appends.
type errorBusy struct{}

func (errorBusy) Error() string { return "too many appends" }

// errorLost is an answer that is lost after the effect.
type errorLost struct{}

func (errorLost) Error() string { return "answer lost" }

func (l *Log) enter(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Slow):
		}
	}
	if f.Down {
		return errorDown{}
	}
	return nil
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, rec platform.Record) (platform.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	if !l.limiter.Allow() {
		return 0, errorBusy{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	now := time.Now()
	l.expire(s, now)
	off := s.first + platform.Offset(len(s.entries))
	s.entries = append(s.entries, platform.Entry{Offset: off, Time: now, Record: rec})
	close(s.grown)
	s.grown = make(chan struct{})
	l.count(now)
	if l.rnd.Float64() < l.faults.LoseShare {
		return 0, errorLost{}
	}
	return off, nil
}

func (l *Log) count(now time.Time) {
	l.appends++
	if now.Unix() != l.second {
		l.second, l.inSecond = now.Unix(), 0
	}
	l.inSecond++
	l.peak = max(l.peak, l.inSecond)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	if err := l.enter(ctx); err != nil {
		return platform.Page{}, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		page, grown := l.page(name, from)
		if len(page.Entries) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, ctx.Err()
		case <-timer.C:
			return page, nil
		case <-grown:
		}
		if err := l.enter(ctx); err != nil {
			return platform.Page{}, err
		}
	}
}

func (l *Log) page(name string, from platform.Offset) (platform.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(name)
	l.expire(s, time.Now())
	page := platform.Page{First: s.first, Next: s.first + platform.Offset(len(s.entries))}
	if from < s.first {
		from = s.first
	}
	if from < page.Next {
		list := s.entries[from-s.first:]
		page.Entries = append(page.Entries, list[:min(len(list), maxPage)]...)
	}
	return page, s.grown
}

// Handler returns the HTTP interface of the log, with the faults under /admin/faults.
func (l *Log) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/streams/:name/records", l.handleAppend)
	e.GET("/v1/streams/:name/records", l.handleRead)
	e.PUT("/admin/faults", func(c echo.Context) error {
		var f Faults
		if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		l.SetFaults(f)
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/admin/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, l.Counts()) })
	return e
}

func (l *Log) handleAppend(c echo.Context) error {
	var rec platform.Record
	req := c.Request()
	req.Body = http.MaxBytesReader(c.Response(), req.Body, maxRecord)
	if err := json.NewDecoder(req.Body).Decode(&rec); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	off, err := l.Append(req.Context(), c.Param("name"), rec)
	if err != nil {
		return fail(err)
	}
	return c.JSON(http.StatusOK, struct {
		Offset platform.Offset `json:"offset"`
	}{off})
}

func (l *Log) handleRead(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "from: "+err.Error())
	}
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "wait: "+err.Error())
	}
	page, err := l.Read(c.Request().Context(), c.Param("name"), platform.Offset(from), wait)
	if err != nil {
		return fail(err)
	}
	return c.JSON(http.StatusOK, page)
}

// fail shows an error: a service that is away and a lost answer cut the connection.
func fail(err error) error {
	var busy errorBusy
	if errors.As(err, &busy) {
		return echo.NewHTTPError(http.StatusTooManyRequests, err.Error())
	}
	panic(http.ErrAbortHandler)
}
