package upstream

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"
)

// Timing of announcements.
const (
	RenewInterval = time.Second     // interval at which an upstream renews its announcement
	ExpireAfter   = 3 * time.Second // time after which an announcement that is not renewed ends
)

// State is what an upstream says of itself.
type State string

// The states of an upstream.
const (
	Warming  State = "warming"
	Ready    State = "ready"
	Draining State = "draining"
)

// Bounds of an announcement.
const (
	maxAnnounceBody = 4 << 10
	maxID           = 64
	maxSlots        = 4096
	maxConnections  = 65536
)

// Announcement is what an upstream sends to the node beside it, with PUT to /v1/upstreams/ID.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       State  `json:"state"`

	Incarnation uint64        `json:"incarnation,omitempty"` // rises with each start of a process at the address
	Seq         uint64        `json:"seq,omitempty"`         // rises with each announcement of an incarnation
	Warming     time.Duration `json:"warming,omitempty"`     // nanoseconds for which the upstream stays slow
}

// numbered reports whether the upstream tells its announcements apart.
func (a *Announcement) numbered() bool { return a.Incarnation > 0 || a.Seq > 0 }

// before reports whether the announcement was made before o.
func (a *Announcement) before(o Announcement) bool {
	if a.Incarnation != o.Incarnation {
		return a.Incarnation < o.Incarnation
	}
	return a.Seq < o.Seq
}

// Receipt answers an announcement.
type Receipt struct {
	RenewMS int `json:"renew_ms"`
	Running int `json:"running"`
}

// FieldError reports a field of an announcement with a bad value.
type FieldError struct {
	field, want string
}

// Error implements error.
func (e *FieldError) Error() string { return "announcement: " + e.field + " must be " + e.want }

// Check returns a *FieldError for the first bad field.
func (a Announcement) Check() error {
	if a.ID == "" || len(a.ID) > maxID {
		return &FieldError{field: "id", want: "1 to 64 bytes long"}
	}
	if a.Service == "" || len(a.Service) > maxID {
		return &FieldError{field: "service", want: "1 to 64 bytes long"}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return &FieldError{field: "address", want: "an IP address with a port"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return &FieldError{field: "slots", want: "1 to 4096"}
	}
	if a.Connections < 0 || a.Connections > maxConnections {
		return &FieldError{field: "connections", want: "0 to 65536"}
	}
	switch a.State {
	case Warming, Ready, Draining:
		return nil
	}
	return &FieldError{field: "state", want: `"warming", "ready" or "draining"`}
}

// Registry takes the announcements of upstreams.
type Registry interface {
	// Announce adds or renews an upstream and returns how many requests it is running.
	Announce(a Announcement) (running int, err error)
	// Withdraw removes an upstream.
	Withdraw(id string)
}

// Mount adds the announcement contract to e.
func Mount(e *echo.Echo, reg Registry) {
	e.PUT("/v1/upstreams/:id", func(c echo.Context) error {
		req := c.Request()
		req.Body = http.MaxBytesReader(c.Response(), req.Body, maxAnnounceBody)
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
		reg.Withdraw(c.Param("id"))
		return c.NoContent(http.StatusNoContent)
	})
}
