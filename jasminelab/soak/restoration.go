package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
)

const (
	storeAwayTime    = 300 * time.Millisecond // time for which a store is away before it returns from a copy
	maxOperatorDelay = 800 * time.Millisecond // upper limit of the time until the operator writes the newest version again
	maxRenewalTime   = 3 * time.Second        // maximum time from a restoration until the nodes have written again what they know
	maxJoinTime      = 5 * time.Second        // maximum time until a node that starts knows all others
	memberTopic      = "keyed.members"        // store topic of the nodes' contacts and departures
	departuresPrefix = "left/"                // prefix of the keys of departures in memberTopic
)

// lostRecords holds what the store had of the nodes before it was restored.
type lostRecords struct {
	at         time.Time
	departures map[string][]string // ids of servers, by key
}

// restoreStore lets the store return from a copy of the age s.Duration or, every third time, from one that is older than the fleet.
func (inj *injector) restoreStore(ctx context.Context, s Step) {
	before := inj.fleet.Log.Copy()
	if s.Variant%3 == 0 {
		before = fakelog.Copy{}
	}
	sleep(ctx, s.Duration)
	defer inj.faultTracker.begin(storeName)()
	inj.changeStoreFaults(func(f *fakelog.Faults) { f.Down = true })
	sleep(ctx, storeAwayTime)
	lost := lostRecords{at: time.Now(), departures: departuresIn(inj.fleet.Log.Newest(memberTopic))}
	inj.fleet.Log.Restore(before)
	inj.changeStoreFaults(func(f *fakelog.Faults) { *f = fakelog.Faults{} })
	inj.mu.Lock()
	inj.lost = append(inj.lost, lost)
	inj.mu.Unlock()
	sleep(ctx, time.Duration(s.Variant%5)*maxOperatorDelay/5)
	if err := inj.prober.publishAgain(inj.fleet); err != nil {
		inj.logf("publish version again: %v", err)
	}
}

// departuresIn returns the ids of the servers whose departures the records hold, by key.
func departuresIn(records map[string][]byte) map[string][]string {
	departures := make(map[string][]string)
	for key, value := range records {
		var entries []struct {
			ID string `json:"id"`
		}
		if !strings.HasPrefix(key, departuresPrefix) || json.Unmarshal(value, &entries) != nil {
			continue
		}
		for _, e := range entries {
			if e.ID != "" {
				departures[key] = append(departures[key], e.ID)
			}
		}
	}
	return departures
}

// checkRestorations checks, after the last fault, that the store holds again what restorations removed, and that a node which starts finds
// all others.
func (r *soakRun) checkRestorations(ctx context.Context, inj *injector) {
	if len(inj.lost) == 0 {
		return
	}
	records := r.fleet.Log.Newest(memberTopic)
	for _, n := range r.fleet.Nodes() {
		if records[n.Name] == nil {
			r.reportViolation("contact", n.Name+" has no contact in the restored store")
		}
	}
	r.checkDepartures(inj, departuresIn(records))
	r.checkJoin(ctx)
}

// checkDepartures checks that the store holds all departures that it held before a restoration. Where all nodes were killed before they
// could write them again, nobody has them.
func (r *soakRun) checkDepartures(inj *injector, departures map[string][]string) {
	for _, lost := range inj.lost {
		if since := inj.lastKillAll.Sub(lost.at); since > -maxRenewalTime && since < maxRenewalTime {
			continue
		}
		for key, ids := range lost.departures {
			kept := " " + strings.Join(departures[key], " ") + " "
			for _, id := range ids {
				if !strings.Contains(kept, " "+id+" ") {
					r.reportViolation("departure", fmt.Sprintf("%s lacks %s after a restoration of the store", key, id))
				}
			}
		}
	}
}

// checkJoin starts a node anew and checks that it finds all others.
func (r *soakRun) checkJoin(ctx context.Context) {
	first := r.fleet.Nodes()[0]
	first.Kill()
	n, err := r.fleet.Restart(first)
	if err != nil {
		r.logf("restart node: %v", err)
		return
	}
	want := len(r.fleet.Nodes())
	known := 0
	for deadline := time.Now().Add(maxJoinTime); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, probeInterval) {
		if known = knownMembers(ctx, n); known >= want {
			return
		}
	}
	r.reportViolation("join", fmt.Sprintf("%s knows %d of %d nodes %v after its start", n.Name, known, want, maxJoinTime))
}

// knownMembers returns the number of live nodes that the node knows, or 0 if it does not answer.
func knownMembers(ctx context.Context, n *fleet.Node) int {
	status, err := n.Admin().Status(ctx)
	if err != nil {
		return 0
	}
	return status.Members
}
