package upstream_test

import (
	"testing"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

func TestLoadRoundTrip(t *testing.T) {
	is := is.New(t)
	text := "3,1,5,1,9210,500,20000,77,700"
	l, err := upstream.ParseLoad(text)
	is.NoErr(err)
	is.Equal(l.String(), text)
	is.True(l.Refusing)
	is.Equal(l.ClassReport.TotalSamples, uint64(77))
	is.Equal(l.Suspicion, 0.7)
}

// TestRefusalNamesItsPriority guards against urgent requests that are refused because less urgent ones of their class are, and against nodes that
// don't know of priorities and would not see the refusal.
func TestRefusalNamesItsPriority(t *testing.T) {
	tests := []struct {
		text     string
		refusing bool
		from     int
	}{
		{"3,1,5,0,0,0,0,0,0", false, 0},
		{"3,1,5,1,0,0,0,0,0", true, 0},
		{"3,1,5,4,0,0,0,0,0", true, 3},
	}
	for _, tt := range tests {
		is := is.New(t)
		l, err := upstream.ParseLoad(tt.text)
		is.NoErr(err)
		is.Equal(l.Refusing, tt.refusing)
		is.Equal(l.RefusedFrom, tt.from)
		is.Equal(l.String(), tt.text)
	}
}

func TestAnnouncementCheck(t *testing.T) {
	good := upstream.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, State: upstream.Ready}
	tests := []struct {
		name   string
		change func(*upstream.Announcement)
		ok     bool
	}{
		{"good", func(*upstream.Announcement) {}, true},
		{"no id", func(a *upstream.Announcement) { a.ID = "" }, false},
		{"a name for an address", func(a *upstream.Announcement) { a.Address = "host:1" }, false},
		{"no slots", func(a *upstream.Announcement) { a.Slots = 0 }, false},
		{"a state of its own", func(a *upstream.Announcement) { a.State = "fine" }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := good
			tt.change(&a)
			is.Equal(a.Check() == nil, tt.ok)
		})
	}
}

func FuzzParseLoad(f *testing.F) {
	f.Add("3,1,5,1,9210,500,20000,77,700")
	f.Add(",,,")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := upstream.ParseLoad(text)
		if err != nil {
			return
		}
		if _, err := upstream.ParseLoad(l.String()); err != nil {
			t.Fatalf("%q does not round-trip: %v", text, err)
		}
	})
}
