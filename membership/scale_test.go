package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/matryer/is"
)

// controlBytesPerSecond is the target of the control traffic of one node.
const controlBytesPerSecond = 6000

// Estimated sizes on the wire in bytes.
const (
	messageBytes = 120 // a heartbeat or a response with its HTTP/2 frames, without records
	recordBytes  = 110 // a record of a node with one upstream
	sumsBytes    = 8 * 32
)

// largeFleet simulates many nodes with little work for each step, and counts what they send.
type largeFleet struct {
	now      time.Time
	names    []string
	engines  map[string]*membership.Engine
	bytes    int
	messages int
	changes  int
}

// newLargeFleet returns n nodes of 8 data centres in two regions that start at the same time with each other as seeds.
func newLargeFleet(n int) *largeFleet {
	f := &largeFleet{now: epoch, engines: make(map[string]*membership.Engine)}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("node-%04d", i))
	}
	for i, name := range f.names {
		m := membership.Member{Name: name, Incarnation: 1, Region: fmt.Sprint("r", i%2), DataCentre: fmt.Sprint("dc", i%8), Address: name}
		m.Upstreams = []membership.Upstream{{ID: "u", Service: fmt.Sprint("s", i%3%2), Slots: 8, State: membership.Ready}}
		f.engines[name] = membership.New(f.now, m, f.names, rand.New(rand.NewPCG(uint64(i), 3)))
	}
	return f
}

func (f *largeFleet) count(m membership.Message) {
	f.messages++
	f.bytes += messageBytes + recordBytes*len(m.Members)
	if len(m.BucketSums) > 0 {
		f.bytes += sumsBytes
	}
}

// run advances the time by d in steps of 50 ms.
func (f *largeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, name := range f.names {
			f.engines[name].Tick(f.now)
		}
		for f.deliver() {
		}
	}
}

// deliver carries out the outputs of all engines and reports whether there were any heartbeats.
func (f *largeFleet) deliver() bool {
	sent := false
	for _, name := range f.names {
		e := f.engines[name]
		output := e.TakeOutput()
		f.changes += len(output.Changes)
		for _, hb := range output.Heartbeats {
			sent = true
			f.count(hb.Message)
			to := f.engines[hb.Address]
			resp := to.ReceiveHeartbeat(f.now, hb.Message)
			to.Flush(f.now)
			f.count(resp)
			e.ReceiveResponse(f.now, hb, resp)
		}
	}
	return sent
}

// flip changes the health of one upstream.
func (f *largeFleet) flip(name string) {
	upstreams := slices.Clone(f.engines[name].Self().Upstreams)
	upstreams[0].Suspect = !upstreams[0].Suspect
	f.engines[name].SetUpstreams(f.now, upstreams, nil)
	f.engines[name].Flush(f.now)
}

func (f *largeFleet) knownToAll() error {
	for _, name := range f.names {
		if known := len(f.engines[name].Members()); known != len(f.names) {
			return fmt.Errorf("%s knows %d nodes at %v", name, known, f.now.Sub(epoch))
		}
	}
	return nil
}

// TestHealthCostsNoMoreInLargeFleet checks that nodes stay within the target of control traffic while a tenth of the upstreams change
// their health each second, and that the nodes of the data centre are told at once.
func TestHealthCostsNoMoreInLargeFleet(t *testing.T) {
	is := is.New(t)
	const nodes, seconds = 354, 10
	f := newLargeFleet(nodes)
	f.run(5 * time.Second)
	is.NoErr(f.knownToAll())
	rnd := rand.New(rand.NewPCG(1, 1))
	f.bytes, f.changes = 0, 0
	for range seconds * 20 {
		for range nodes / 10 / 20 {
			f.flip(f.names[rnd.IntN(nodes)])
		}
		f.run(50 * time.Millisecond)
	}
	perNode := f.bytes / nodes / seconds
	t.Logf("%d B/s a node, %d changes of records a node and second", perNode, f.changes/nodes/seconds)
	is.True(perNode <= controlBytesPerSecond)
	f.flip("node-0008")
	f.deliver()
	for i := range nodes {
		m, _ := f.engines[f.names[i]].Member("node-0008")
		if self, _ := f.engines["node-0008"].Member("node-0008"); i%8 == 0 {
			is.Equal(m.Upstreams[0].Suspect, self.Upstreams[0].Suspect)
		}
	}
}

// TestLargeFleetStartsTogether checks that all nodes know each other within two seconds of a start of all, at a cost that a link of
// the smallest machine carries.
func TestLargeFleetStartsTogether(t *testing.T) {
	is := is.New(t)
	const nodes = 354
	const maxBytes = 2_500_000 // what 10 Mbit/s carry in two seconds
	const maxMessages = 480    // what the target of 3.6% of a core handles in two seconds at 150 µs a message
	f := newLargeFleet(nodes)
	f.run(2 * time.Second)
	is.NoErr(f.knownToAll())
	t.Logf("%d B and %d messages a node", f.bytes/nodes, f.messages/nodes)
	is.True(f.messages/nodes <= maxMessages)
	is.True(f.bytes/nodes <= maxBytes)
}

// TestNeighboursFollowMembers draws changes of members and checks that the neighbours of a node are the same as those of a node that
// learns the resulting records at once.
func TestNeighboursFollowMembers(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(4, 4))
	self := membership.Member{Name: "self", Incarnation: 1, Region: "r0", DataCentre: "dc0", Address: "self"}
	e := membership.New(epoch, self, nil, rand.New(rand.NewPCG(1, 1)))
	records := make(map[string]membership.Member)
	for step := range 2000 {
		name := fmt.Sprint("n", rnd.IntN(60))
		m := records[name]
		dc := rnd.IntN(4)
		m.Name, m.Address, m.Incarnation = name, name, 1
		m.Region, m.DataCentre = fmt.Sprint("r", dc/2), fmt.Sprint("dc", dc)
		m.Seq++
		m.Status = membership.Status(1 + rnd.IntN(4))
		if _, known := e.Member(name); !known && m.Status > membership.Leaving {
			continue // an unknown node that isn't live is ignored
		}
		records[name] = m
		e.ReceiveHeartbeat(epoch, membership.Message{Name: name, Members: []membership.Member{m}})
		e.TakeOutput()
		if step%10 != 0 {
			continue
		}
		fresh := membership.New(epoch, self, nil, rand.New(rand.NewPCG(1, 1)))
		live := slices.DeleteFunc(slices.Collect(maps.Values(records)), func(m membership.Member) bool { return m.Status > membership.Leaving })
		fresh.ReceiveHeartbeat(epoch, membership.Message{Name: "all", Members: live})
		is.Equal(e.Neighbours(), fresh.Neighbours())
	}
}
