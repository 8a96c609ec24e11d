package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/pkg/errors"
)

// Options configures a run.
type Options struct {
	Seed       uint64
	Quick      bool      // shortens some experiments
	Deployment string    // name of the deployment: carritos or foldlab
	NodeCounts []int     // numbers of nodes to measure in the experiment control; empty for its defaults
	Out        io.Writer // receives the measurements, one JSON object a line
	Progress   io.Writer // receives progress messages
}

// Run is one run of an experiment.
type Run struct {
	opt          Options
	missedBounds int
}

// measurement is a measured value with its bound, printed as JSON.
type measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound string  `json:"bound"`
	OK    bool    `json:"ok"`
}

// print writes the measurement as a line of JSON and counts it if it missed its bound.
func (r *Run) print(m measurement) {
	if !m.OK {
		r.missedBounds++
	}
	_ = json.NewEncoder(r.opt.Out).Encode(m)
}

// atMost prints a measurement that must not exceed the bound.
func (r *Run) atMost(name string, v float64, unit string, bound float64) {
	r.print(measurement{name, v, unit, fmt.Sprintf("<= %g", bound), v <= bound})
}

// atLeast prints a measurement that must reach the bound.
func (r *Run) atLeast(name string, v float64, unit string, bound float64) {
	r.print(measurement{name, v, unit, fmt.Sprintf(">= %g", bound), v >= bound})
}

// report prints a measurement that has no bound.
func (r *Run) report(name string, v float64, unit string) {
	r.print(measurement{name, v, unit, "", true})
}

// printBrokenConnections prints the requests whose connection broke at a node that was not killed.
func (r *Run) printBrokenConnections(records []load.Record) {
	for i := range records {
		if rec := &records[i]; rec.ConnectionBroken {
			r.progress("cut: %s %s after %d tries: %s", rec.Stream.Class.Name, rec.Latency, rec.Attempts, rec.Err)
		}
	}
}

// reportAudit prints how often each guarantee was violated; the bound of each count is 0.
func (r *Run) reportAudit(prefix string, audit load.Audit) {
	r.atMost(prefix+"doubled", float64(audit.DuplicateRuns), "requests", 0)
	r.atMost(prefix+"lost", float64(audit.MissingOutcomes), "requests", 0)
	r.atMost(prefix+"crossed", float64(audit.MismatchedResponses), "answers", 0)
	r.atMost(prefix+"untrue", float64(audit.FalseNotRun), "requests", 0)
	r.atMost(prefix+"cut", float64(audit.BrokenConnections), "requests", 0)
}

func (r *Run) progress(format string, args ...any) {
	fmt.Fprintf(r.opt.Progress, format+"\n", args...)
}

// deployment returns the deployment that the options select, with the number of its upstreams divided by scale.
func (r *Run) deployment(scale int) fleet.Deployment {
	if r.opt.Deployment == "foldlab" {
		return fleet.Foldlab(scale)
	}
	return fleet.Carritos(scale)
}

// Func runs one experiment and prints its measurements through r.
type Func func(ctx context.Context, r *Run) error

var experiments = map[string]Func{}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for n := range experiments {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Execute runs the named experiment and returns an error if a measurement missed its bound.
func Execute(ctx context.Context, name string, opt Options) error {
	experiment := experiments[name]
	if experiment == nil {
		return errors.Errorf("unknown experiment %q: want one of %v", name, Names())
	}
	r := &Run{opt: opt}
	if err := experiment(ctx, r); err != nil {
		return errors.Wrap(err, name)
	}
	if r.missedBounds > 0 {
		return errors.Errorf("%s: %d measurements missed their bounds", name, r.missedBounds)
	}
	return nil
}

// quantile returns the q-quantile of the durations, or 0 if there are none.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// streams returns one stream for each class. Together, the streams of a service offer the given share of its capacity.
func streams(deployment fleet.Deployment, utilization float64) []*load.Stream {
	var streamList []*load.Stream
	for _, svc := range deployment.Services {
		for _, class := range svc.Classes {
			streamList = append(streamList, &load.Stream{
				Service: svc, Class: class, Rate: deployment.Capacity(svc) * utilization * class.RequestShare,
				CallerCount: 50, SendKey: !class.Idempotent, MaxRetries: callerRetries(class),
			})
		}
	}
	return streamList
}

// withoutRetries makes the callers of the streams send each request only once. It returns the same streams.
func withoutRetries(streamList []*load.Stream) []*load.Stream {
	for _, s := range streamList {
		s.MaxRetries = 0
	}
	return streamList
}

// testEnvironment is a fleet under load.
type testEnvironment struct {
	fleet      *fleet.Fleet
	load       *load.Generator
	ctx        context.Context // done when the load is stopped
	cancelLoad context.CancelFunc
}

// startTestEnvironment starts a fleet with the given deployment and then the load streams.
func (r *Run) startTestEnvironment(ctx context.Context, deployment fleet.Deployment, streamList []*load.Stream) (*testEnvironment, error) {
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: r.opt.Seed})
	if err != nil {
		if f != nil {
			f.Close()
		}
		return nil, err
	}
	env := &testEnvironment{fleet: f, load: load.New(f, r.opt.Seed)}
	env.ctx, env.cancelLoad = context.WithCancel(ctx)
	for _, s := range streamList {
		env.load.Start(env.ctx, s)
	}
	return env, nil
}

// stopLoad stops the load and waits for the requests in flight.
func (env *testEnvironment) stopLoad() {
	env.cancelLoad()
	env.load.Wait()
}

func (env *testEnvironment) close() {
	env.cancelLoad()
	env.fleet.Close()
}

// callerRetries returns how often a caller retries a request of the class after an unknown outcome.
func callerRetries(class fleet.Class) int {
	if class.Idempotent {
		return 0
	}
	return 3
}

func sleep(ctx context.Context, d time.Duration) { load.Sleep(ctx, d) }
