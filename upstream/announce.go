package upstream

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Timing of announcements.
const (
	RenewInterval = time.Second     // interval between the announcements of an upstream
	ExpireAfter   = 3 * time.Second // time after which an announcement expires unless it is renewed
)

// State is the state that an upstream reports in its announcements.
type State string

// The states of an upstream.
const (
	Warming  State = "warming"
	Ready    State = "ready"
	Draining State = "draining"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 4 << 10
	maxIDBytes           = 64
	maxServiceBytes      = 1024
	maxSlots             = 4096
	maxConnections       = 65536
)

// Announcement is the body of the PUT request to /v1/upstreams/ID by which an upstream registers with its local
// node and renews the registration.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"` // number of requests that the upstream runs at a time
	Connections int    `json:"connections"`
	State       State  `json:"state"`

	Incarnation uint64        `json:"incarnation,omitempty"` // increases each time the process at the address starts
	Seq         uint64        `json:"seq,omitempty"`         // increases with each announcement of an incarnation
	Warming     time.Duration `json:"warming,omitempty"`     // remaining warm-up time, during which the upstream is slow; nanoseconds in JSON
}

// numbered reports whether the announcement has an incarnation or a sequence number.
func (a *Announcement) numbered() bool { return a.Incarnation > 0 || a.Seq > 0 }

// olderThan reports whether the announcement was made before o.
func (a *Announcement) olderThan(o Announcement) bool {
	if a.Incarnation != o.Incarnation {
		return a.Incarnation < o.Incarnation
	}
	return a.Seq < o.Seq
}

// sameProcess reports whether two announcements come from one process of an upstream.
func (a *Announcement) sameProcess(o Announcement) bool {
	return a.ID == o.ID && a.Incarnation == o.Incarnation && a.Service == o.Service && a.Address == o.Address
}

// drains reports whether the announcement says that the incarnation drains.
func (a *Announcement) drains(incarnation uint64) bool {
	return a.State == Draining && a.Incarnation == incarnation
}

// Departure is the word of an upstream that it leaves for good.
type Departure struct {
	ID             string
	Incarnation    uint64 // the incarnation that leaves; 0 if the upstream doesn't name it
	NewestPossible uint64 // no later incarnation can have sent the departure; 0 if that isn't known
}

// Receipt is the response to an announcement.
type Receipt struct {
	RenewMS int `json:"renew_ms"` // interval between renewals in milliseconds
	Running int `json:"running"`  // outstanding requests of the upstream
}

// FieldError reports a field of an announcement that has an invalid value.
type FieldError struct {
	field, requirement string
}

// Error implements error.
func (e *FieldError) Error() string { return "announcement: " + e.field + " must be " + e.requirement }

// Check validates the announcement and returns a *FieldError for the first invalid field.
func (a Announcement) Check() error {
	if a.ID == "" || len(a.ID) > maxIDBytes {
		return &FieldError{field: "id", requirement: "1 to 64 bytes long"}
	}
	if a.Service == "" || len(a.Service) > maxServiceBytes {
		return &FieldError{field: "service", requirement: "1 to 1024 bytes long"}
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		return &FieldError{field: "address", requirement: "an IP address with a port"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return &FieldError{field: "slots", requirement: "1 to 4096"}
	}
	if a.Connections < 0 || a.Connections > maxConnections {
		return &FieldError{field: "connections", requirement: "0 to 65536"}
	}
	switch a.State {
	case Warming, Ready, Draining:
		return nil
	}
	return &FieldError{field: "state", requirement: `"warming", "ready" or "draining"`}
}

// Registry stores the announcements of upstreams.
type Registry interface {
	// Announce adds or renews an upstream and returns the number of its outstanding requests.
	Announce(a Announcement) (running int, err error)
	// Withdraw removes an upstream that leaves. After an error the departure is not recorded.
	Withdraw(d Departure) error
}

// Mount adds the handlers of the announcement API to e.
func Mount(e *echo.Echo, reg Registry) {
	e.PUT("/v1/upstreams/:id", func(c echo.Context) error {
		req := c.Request()
		req.Body = http.MaxBytesReader(c.Response(), req.Body, maxAnnouncementBytes)
		var a Announcement
		if err := c.Bind(&a); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+err.Error())
		}
		a.ID = c.Param("id")
		if err := a.Check(); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		n, err := reg.Announce(a)
		if err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return c.JSON(http.StatusOK, Receipt{RenewMS: int(RenewInterval.Milliseconds()), Running: n})
	})
	e.DELETE("/v1/upstreams/:id", func(c echo.Context) error {
		d, err := departure(c.Param("id"), c.QueryParam("incarnation"))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if err := reg.Withdraw(d); err != nil {
			return echo.NewHTTPError(http.StatusNotFound, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
}

// departure returns the departure of the upstream with the id; the incarnation is optional.
func departure(id, incarnation string) (Departure, error) {
	if incarnation == "" {
		return Departure{ID: id}, nil
	}
	number, err := strconv.ParseUint(incarnation, 10, 64)
	if err != nil {
		return Departure{}, &FieldError{field: "incarnation", requirement: "a number"}
	}
	return Departure{ID: id, Incarnation: number}, nil
}
