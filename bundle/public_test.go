package bundle_test

import (
	"testing"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/matryer/is"
)

// TestClassIsPublicIfAllItsRoutesAre guards against requests of callers being taken for nested calls because a public route leads to the same
// class.
func TestClassIsPublicIfAllItsRoutesAre(t *testing.T) {
	tests := []struct {
		name   string
		public []bool // of the routes that lead to the class
		want   bool
	}{
		{"no route", nil, false},
		{"one public route", []bool{true}, true},
		{"one route that needs a key", []bool{false}, false},
		{"a public route first", []bool{true, false}, false},
		{"a public route last", []bool{false, true}, false},
		{"public routes only", []bool{true, true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &bundle.Document{
				Policy:   bundle.PolicySpec{Signoffs: 1, KeyRetention: 3600e9},
				Services: []bundle.ServiceSpec{{Name: "s", Hosts: []string{"s.test"}}},
				Classes:  []bundle.ClassSpec{{Service: "s", Name: "c", Timeout: 1e9}},
			}
			for i, public := range tt.public {
				d.Routes = append(d.Routes, bundle.RouteSpec{Service: "s", Class: "c", Prefix: "/" + string(rune('a'+i)), Public: public})
			}
			b, err := bundle.Build(d)
			is.NoErr(err)
			is.Equal(b.Service("s").Class("c").Public(), tt.want)
		})
	}
}
