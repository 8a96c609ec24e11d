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

// Options vary a run.
type Options struct {
	Seed     uint64
	Quick    bool
	Shape    string // carritos or foldlab
	Nodes    []int
	Out      io.Writer
	Progress io.Writer
}

// Run is one run of an experiment.
type Run struct {
	opt Options
	bad int
}

// measure is one printed figure.
type measure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound string  `json:"bound"`
	OK    bool    `json:"ok"`
}

func (r *Run) print(m measure) {
	if !m.OK {
		r.bad++
	}
	_ = json.NewEncoder(r.opt.Out).Encode(m)
}

// atMost prints a figure that must not exceed the bound.
func (r *Run) atMost(name string, v float64, unit string, bound float64) {
	r.print(measure{name, v, unit, fmt.Sprintf("<= %g", bound), v <= bound})
}

// atLeast prints a figure that must reach the bound.
func (r *Run) atLeast(name string, v float64, unit string, bound float64) {
	r.print(measure{name, v, unit, fmt.Sprintf(">= %g", bound), v >= bound})
}

// note prints a figure without a bound.
func (r *Run) note(name string, v float64, unit string) {
	r.print(measure{name, v, unit, "", true})
}

// cuts shows the connections that broke.
func (r *Run) cuts(records []load.Record) {
	for i := range records {
		if rec := &records[i]; rec.Cut {
			r.progress("cut: %s %s after %d tries: %s", rec.Stream.Class.Name, rec.Latency, rec.Attempts, rec.Err)
		}
	}
}

// audit prints the broken promises of a run.
func (r *Run) audit(prefix string, a load.Audit) {
	r.atMost(prefix+"doubled", float64(a.Doubled), "requests", 0)
	r.atMost(prefix+"lost", float64(a.Lost), "requests", 0)
	r.atMost(prefix+"crossed", float64(a.Crossed), "answers", 0)
	r.atMost(prefix+"untrue", float64(a.Untrue), "requests", 0)
	r.atMost(prefix+"cut", float64(a.Cut), "requests", 0)
}

func (r *Run) progress(format string, args ...any) {
	fmt.Fprintf(r.opt.Progress, format+"\n", args...)
}

func (r *Run) shape(scale int) fleet.Shape {
	if r.opt.Shape == "foldlab" {
		return fleet.Foldlab(scale)
	}
	return fleet.Carritos(scale)
}

// Func is an experiment.
type Func func(ctx context.Context, r *Run) error

var experiments = map[string]Func{}

// Names returns the names of all experiments.
func Names() []string {
	var out []string
	for n := range experiments {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Start runs the named experiment and returns an error when a figure missed its bound.
func Start(ctx context.Context, name string, opt Options) error {
	f := experiments[name]
	if f == nil {
		return errors.Errorf("no experiment %q, want one of %v", name, Names())
	}
	r := &Run{opt: opt}
	if err := f(ctx, r); err != nil {
		return errors.Wrap(err, name)
	}
	if r.bad > 0 {
		return errors.Errorf("%s: %d figures missed their bound", name, r.bad)
	}
	return nil
}

// quantile returns the q-th part of the values in order, or 0 for none.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(list))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// streams returns one stream for each class, at the given part of the service's capacity.
func streams(s fleet.Shape, part float64) []*load.Stream {
	var out []*load.Stream
	for _, v := range s.Services {
		for _, c := range v.Classes {
			out = append(out, &load.Stream{
				Service: v, Class: c, Rate: s.Capacity(v) * part * c.Weight,
				Callers: 50, SendKey: !c.Idempotent, MaxRetries: repeats(c),
			})
		}
	}
	return out
}

// withoutRepeats makes the callers of the streams send each request once.
func withoutRepeats(list []*load.Stream) []*load.Stream {
	for _, s := range list {
		s.MaxRetries = 0
	}
	return list
}

// bench is a deployment under load.
type bench struct {
	fleet *fleet.Fleet
	load  *load.Generator
	ctx   context.Context // ends with the load
	stop  context.CancelFunc
}

// up brings up the deployment and starts the streams.
func (r *Run) up(ctx context.Context, shape fleet.Shape, list []*load.Stream) (*bench, error) {
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: r.opt.Seed})
	if err != nil {
		if f != nil {
			f.Close()
		}
		return nil, err
	}
	b := &bench{fleet: f, load: load.New(f, r.opt.Seed)}
	b.ctx, b.stop = context.WithCancel(ctx)
	for _, s := range list {
		b.load.Start(b.ctx, s)
	}
	return b, nil
}

// end stops the load and waits for the requests in flight.
func (b *bench) end() {
	b.stop()
	b.load.Wait()
}

func (b *bench) close() {
	b.stop()
	b.fleet.Close()
}

func repeats(c fleet.Class) int {
	if c.Idempotent {
		return 0
	}
	return 3
}

func sleep(ctx context.Context, d time.Duration) { load.Sleep(ctx, d) }
