package rollout_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
)

func needsAll(string) bool { return true }

func TestCatchUpAsksAnotherNodeWhileOneIsSilent(t *testing.T) {
	is := is.New(t)
	var c rollout.CatchUp
	now := time.Unix(1_000_000, 0)
	c.Heard("silent", "a:1")
	first, _ := c.Next(now, needsAll)
	is.Equal(first.Address, "a:1")
	c.Heard("other", "b:1")
	none, _ := c.Next(now.Add(100*time.Millisecond), needsAll)
	is.True(none == nil) // the first one may still answer
	second, canceled := c.Next(now.Add(500*time.Millisecond), needsAll)
	is.Equal(second.Name, "other")
	is.True(canceled == nil) // a slow answer is still of use
}

func TestCatchUpBoundsItsFetches(t *testing.T) {
	is := is.New(t)
	var c rollout.CatchUp
	now := time.Unix(1_000_000, 0)
	var begun []*rollout.Fetch
	running := make(map[*rollout.Fetch]bool)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		c.Heard(name, name+":1")
		now = now.Add(10 * time.Second)
		f, canceled := c.Next(now, needsAll)
		begun = append(begun, f)
		running[f] = true
		delete(running, canceled)
	}
	is.Equal(len(running), 4)
	is.True(!running[begun[0]] && !running[begun[1]]) // the oldest were canceled
}

func TestCatchUpForgetsWhatIsNoLongerNeeded(t *testing.T) {
	is := is.New(t)
	var c rollout.CatchUp
	now := time.Unix(1_000_000, 0)
	for _, name := range []string{"a", "b", "c"} {
		c.Heard(name, name+":1")
	}
	f, _ := c.Next(now, needsAll)
	is.Equal(f.Name, "c")
	c.Ended(f)
	f, _ = c.Next(now, func(name string) bool { return name == "a" })
	is.Equal(f.Name, "a")
	c.Ended(f)
	f, _ = c.Next(now, needsAll)
	is.True(f == nil) // b was not needed any more
}
