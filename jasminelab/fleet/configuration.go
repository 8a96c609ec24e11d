package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	configKey   = "config"
	maxAttempts = 3 // maximum attempts per request

	// OperatorTopic is the store topic that the operator writes the configuration to.
	OperatorTopic = "keyed.op"

	// MarkerHost is the host of the marker routes. Each version of the configuration adds one marker route, so a request
	// for it shows whether that version is in force.
	MarkerHost = "mark.test"
)

// Configuration is the configuration that the operator writes to the store on the platform.
type Configuration struct {
	Version  string         `json:"version"` // eight hexadecimal digits
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
}

type serviceEntry struct {
	Name string `json:"name"`
}

type routeEntry struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	SLO      string `json:"slo"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

// MarkerPath returns the path prefix of the version's marker route. The version and all later ones have this route.
func MarkerPath(version uint64) string { return fmt.Sprintf("/m/%d/", version) }

// Configuration returns the given version of the deployment's configuration, with the marker routes of all versions up to it.
func (s Deployment) Configuration(version uint64) Configuration {
	c := Configuration{Version: fmt.Sprintf("%08x", version)}
	for _, v := range s.Services {
		c.Services = append(c.Services, serviceEntry{v.Name})
		for _, class := range v.Classes {
			kind := "unsafe"
			if class.Idempotent {
				kind = "safe"
			}
			c.Routes = append(c.Routes, routeEntry{
				Name: v.Name + "-" + class.Name, Host: v.Host, Prefix: class.Prefix + "/", Kind: kind, Timeout: formatMillis(class.Timeout),
				SLO: formatMillis(class.Timeout / 2), Priority: class.Priority, Service: v.Name, Attempts: maxAttempts,
			})
		}
	}
	markerService := s.Services[0]
	for i := range version {
		c.Routes = append(c.Routes, routeEntry{
			Name: fmt.Sprintf("mark-%d", i+1), Host: MarkerHost, Prefix: MarkerPath(i + 1), Kind: "safe", Timeout: "1s",
			SLO: "500ms", Priority: markerService.Classes[0].Priority, Service: markerService.Name, Attempts: maxAttempts,
		})
	}
	return c
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// Configure writes the configuration to the store as the operator does.
func (f *Fleet) Configure(c Configuration) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.Log.Put(OperatorTopic, configKey, data)
	return nil
}
