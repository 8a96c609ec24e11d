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

// Handler returns the HTTP API of the log. PUT /admin/faults sets the injected faults, and GET /admin/counts returns the counts.
func (l *Log) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			setEra(c, l.Era())
			return next(c)
		}
	})
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

// setEra sets the header that tells the era to which the response belongs; it is absent before the first restoration.
func setEra(c echo.Context, era uint64) {
	if era > 0 {
		c.Response().Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
}

func clientHost(c echo.Context) string {
	ip, _, err := net.SplitHostPort(c.Request().RemoteAddr)
	if err != nil {
		return ""
	}
	return ip
}

// uintParam returns the value of a query parameter, or fallback if the parameter is absent.
func uintParam(c echo.Context, name string, fallback uint64) (uint64, error) {
	value := c.QueryParam(name)
	if value == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+": "+err.Error())
	}
	return n, nil
}

func (l *Log) handleAppend(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxAppendBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	records, err := splitRecords(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	cond, err := parseCondition(c)
	if err != nil {
		return err
	}
	result, err := l.append(c.Request().Context(), clientHost(c), c.QueryParam("topic"), c.QueryParam("part"), records, cond)
	if err != nil {
		return writeError(c, err)
	}
	setEra(c, result.era)
	return c.JSON(http.StatusOK, struct {
		Offset uint64 `json:"offset"`
		End    uint64 `json:"end_offset"`
	}{result.offset, result.end})
}

func parseCondition(c echo.Context) (condition, error) {
	cond := condition{producer: c.QueryParam("producer")}
	var err error
	if cond.epoch, err = uintParam(c, "epoch", 0); err != nil {
		return cond, err
	}
	if cond.seq, err = uintParam(c, "seq", 0); err != nil {
		return cond, err
	}
	if c.QueryParam("at") != "" {
		end, err := uintParam(c, "at", 0)
		cond.end = &end
		return cond, err
	}
	return cond, nil
}

// splitRecords returns the records of a body. Each record is preceded by its length as a 32-bit big-endian integer.
func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, errors.New("incomplete record length")
		}
		n := binary.BigEndian.Uint32(body)
		if n > maxRecordBytes || int(n) > len(body)-4 {
			return nil, errors.New("record exceeds the size limit or the body")
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, nil
}

func (l *Log) handleRead(c echo.Context) error {
	from, err := uintParam(c, "from", 0)
	if err != nil {
		return err
	}
	kb, err := uintParam(c, "max_kb", 1024)
	if err != nil {
		return err
	}
	waitMS, err := uintParam(c, "wait_ms", 0)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	p, ok, err := l.read(ctx, clientHost(c), c.QueryParam("topic"), c.QueryParam("part"), from, int(kb)<<10, time.Duration(waitMS)*time.Millisecond)
	if err != nil {
		return writeError(c, err)
	}
	setEra(c, p.era)
	if !ok {
		return c.JSON(http.StatusGone, struct {
			First uint64 `json:"first_offset"`
		}{p.firstOffset})
	}
	body := binary.BigEndian.AppendUint64(nil, p.end)
	body = binary.BigEndian.AppendUint64(body, p.firstOffset)
	for _, r := range p.records {
		body = binary.BigEndian.AppendUint32(body, uint32(len(r.data)))
		body = append(body, r.data...)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

type newestRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

func (l *Log) handleNewest(c echo.Context) error {
	if err := l.injectFaults(c.Request().Context(), clientHost(c)); err != nil {
		return writeError(c, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	setEra(c, l.era)
	p := l.partition(c.QueryParam("topic"), c.QueryParam("part"))
	items := []newestRecord{}
	hasMore := false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= c.QueryParam("after") && c.QueryParam("after") != "" {
			continue
		}
		if hasMore = len(items) == maxPageKeys; hasMore {
			break
		}
		items = append(items, newestRecord{Key: key, Value: p.newest[key].data, Offset: p.newest[key].offset})
	}
	return c.JSON(http.StatusOK, struct {
		Items []newestRecord `json:"items"`
		More  bool           `json:"has_more"`
		End   uint64         `json:"end_offset"`
	}{items, hasMore, p.end()})
}

func (l *Log) handleTrim(c echo.Context) error {
	beforeOffset, err := uintParam(c, "before_offset", 0)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(c.QueryParam("topic"), c.QueryParam("part"))
	for p.firstOffset < beforeOffset && len(p.records) > 0 {
		p.records = p.records[1:]
		p.firstOffset++
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// writeError responds to a conflict or an exceeded rate limit; for any other error it aborts the connection.
func writeError(c echo.Context, err error) error {
	var conflictErr *conflict
	if errors.As(err, &conflictErr) {
		return c.JSON(conflictErr.status, struct {
			Why string `json:"why"`
			End uint64 `json:"end_offset"`
		}{conflictErr.reason, conflictErr.current})
	}
	if errors.Is(err, errRateLimited) {
		return echo.NewHTTPError(http.StatusTooManyRequests, err.Error())
	}
	panic(http.ErrAbortHandler)
}
