package fakelog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Handler returns the HTTP interface of the store, with the faults under /admin/faults.
func (l *Log) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/log-append", l.handleAppend)
	e.GET("/v1/log-read", l.handleRead)
	e.GET("/v1/log-newest", l.handleNewest)
	e.POST("/v1/log-trim", l.handleTrim)
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

func host(c echo.Context) string {
	h, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err != nil {
		return ""
	}
	return h
}

// number returns a parameter of the query, or what stands for a missing one.
func number(c echo.Context, name string, missing uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+": "+err.Error())
	}
	return n, nil
}

func (l *Log) handleAppend(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxCall))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	list, err := split(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	cond, err := conditionOf(c)
	if err != nil {
		return err
	}
	offset, end, err := l.append(c.Request().Context(), host(c), c.QueryParam("topic"), c.QueryParam("part"), list, cond)
	if err != nil {
		return fail(c, err)
	}
	return c.JSON(http.StatusOK, struct {
		Offset uint64 `json:"offset"`
		End    uint64 `json:"end_offset"`
	}{offset, end})
}

func conditionOf(c echo.Context) (condition, error) {
	cond := condition{producer: c.QueryParam("producer")}
	var err error
	if cond.epoch, err = number(c, "epoch", 0); err != nil {
		return cond, err
	}
	if cond.seq, err = number(c, "seq", 0); err != nil {
		return cond, err
	}
	if c.QueryParam("at") != "" {
		at, err := number(c, "at", 0)
		cond.at = &at
		return cond, err
	}
	return cond, nil
}

// split takes records with their lengths apart.
func split(body []byte) ([][]byte, error) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errors.New("record without a length")
		}
		n := binary.BigEndian.Uint32(body)
		if n > maxRecord || int(n) > len(body)-4 {
			return nil, errors.New("record is too long")
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, nil
}

func (l *Log) handleRead(c echo.Context) error {
	from, err := number(c, "from", 0)
	if err != nil {
		return err
	}
	kb, err := number(c, "max_kb", 1024)
	if err != nil {
		return err
	}
	wait, err := number(c, "wait_ms", 0)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	p, ok, err := l.read(ctx, host(c), c.QueryParam("topic"), c.QueryParam("part"), from, int(kb)<<10, time.Duration(wait)*time.Millisecond)
	if err != nil {
		return fail(c, err)
	}
	if !ok {
		return c.JSON(http.StatusGone, struct {
			First uint64 `json:"first_offset"`
		}{p.first})
	}
	out := binary.BigEndian.AppendUint64(nil, p.end)
	out = binary.BigEndian.AppendUint64(out, p.first)
	for _, r := range p.records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.data)))
		out = append(out, r.data...)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, out)
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

func (l *Log) handleNewest(c echo.Context) error {
	if err := l.enter(c.Request().Context(), host(c)); err != nil {
		return fail(c, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	p := l.part(c.QueryParam("topic"), c.QueryParam("part"))
	items := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= c.QueryParam("after") && c.QueryParam("after") != "" {
			continue
		}
		if more = len(items) == maxItems; more {
			break
		}
		items = append(items, item{Key: key, Value: p.newest[key].data, Offset: p.newest[key].offset})
	}
	return c.JSON(http.StatusOK, struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   uint64 `json:"end_offset"`
	}{items, more, p.end()})
}

func (l *Log) handleTrim(c echo.Context) error {
	before, err := number(c, "before_offset", 0)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(c.QueryParam("topic"), c.QueryParam("part"))
	for p.first < before && len(p.records) > 0 {
		p.records = p.records[1:]
		p.first++
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// fail shows an error: a store that is away and a lost answer cut the connection.
func fail(c echo.Context, err error) error {
	var cond *conflict
	if errors.As(err, &cond) {
		return c.JSON(cond.status, struct {
			Why string `json:"why"`
			End uint64 `json:"end_offset"`
		}{cond.why, cond.value})
	}
	if errors.Is(err, errBusy) {
		return echo.NewHTTPError(http.StatusTooManyRequests, err.Error())
	}
	panic(http.ErrAbortHandler)
}
