package membership_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/matryer/is"
)

func TestDeparturesOutliveTheProcessOfTheirNode(t *testing.T) {
	left := []membership.Departure{{ID: "u", Incarnation: 7}}
	tests := []struct {
		name    string
		restart func(net *simNetwork)
	}{
		{"killed after another node has received the record", func(net *simNetwork) { net.add("n04", 0, 2) }},
		{"killed twice, the second process before it heard of the departure", func(net *simNetwork) {
			net.add("n04", 0, 2)
			net.add("n04", 0, 3)
		}},
		{"stopped and started again", func(net *simNetwork) {
			net.nodes["n04"].SetStatus(net.now, membership.Left)
			net.run(time.Second)
			net.add("n04", 0, 2)
		}},
		{"dead for some seconds", func(net *simNetwork) {
			delete(net.nodes, "n04")
			net.run(8 * time.Second)
			net.add("n04", 0, 2)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			net := newSimNetwork(6, 12, 4)
			net.run(5 * time.Second)
			e := net.nodes["n04"]
			e.SetUpstreams(net.now, nil, left)
			is.True(!e.Confirmed())
			for !e.Confirmed() {
				net.run(100 * time.Millisecond)
			}
			is.True(net.now.Sub(epoch) <= 5*time.Second+300*time.Millisecond)
			tt.restart(net)
			var recalled []membership.Departure
			for range 10 {
				net.nodes["n04"].Tick(net.now)
				net.run(100 * time.Millisecond)
				recalled = append(recalled, net.recalled["n04"]...)
			}
			is.True(slices.Contains(recalled, left[0]))
			net.nodes["n04"].SetUpstreams(net.now, nil, left)
			net.run(3 * time.Second)
			clear(net.recalled)
			net.run(3 * time.Second)
			is.Equal(len(net.recalled["n04"]), 0) // the others tell no more once the record lists it
		})
	}
}

func TestOnlyANodeWithoutSeedsNeedsNoConfirmation(t *testing.T) {
	is := is.New(t)
	for _, seeds := range [][]string{nil, {"n01"}} {
		e := membership.New(epoch, membership.Member{Name: "n00", Incarnation: 1, Address: "n00"}, seeds, rand.New(rand.NewPCG(1, 1)))
		e.SetUpstreams(epoch, nil, []membership.Departure{{ID: "u", Incarnation: 7}})
		is.Equal(e.Confirmed(), len(seeds) == 0)
	}
}
