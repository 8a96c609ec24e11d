package upstream

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/pkg/errors"
)

// Load is the state of an upstream, with the evidence on one class and on all, that rides on answers.
type Load struct {
	Load  admission.Load
	Class outlier.Report
	Whole outlier.Report // service times are scaled by what each class usually takes
	Sick  float64        // belief of the gate that the upstream is sick, 0 to 1
}

// milli is the scale of the fractions in the text form.
const milli = 1000

// String returns the text form that ParseLoad reads.
func (l Load) String() string {
	return fmt.Sprintf("%d,%d,%d,%x,%s,%s,%d", l.Load.Running, l.Load.Queued, l.Load.Limit, l.Load.Refusing,
		formatReport(l.Class), formatReport(l.Whole), int(l.Sick*milli))
}

func formatReport(r outlier.Report) string {
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d", int(r.Mean*milli), int(r.Spread*milli), int(r.Fail*milli), int(r.Count*milli), r.Seq, r.Stuck.Milliseconds())
}

// Fields of the text form.
const (
	loadFields   = 4
	reportFields = 6
	allFields    = loadFields + 2*reportFields + 1
)

// ParseLoad parses the text form of a load.
func ParseLoad(text string) (Load, error) {
	fields := strings.Split(text, ",")
	if len(fields) != allFields {
		return Load{}, errors.Errorf("load %q has %d fields", text, len(fields))
	}
	var v [allFields]int64
	for i, f := range fields {
		base := 10
		if i == loadFields-1 {
			base = 16
		}
		n, err := strconv.ParseInt(f, base, 64)
		if err != nil || n < 0 {
			return Load{}, errors.Errorf("load %q: bad field %d", text, i)
		}
		v[i] = n
	}
	var l Load
	l.Load.Running, l.Load.Queued, l.Load.Limit = int(v[0]), int(v[1]), int(v[2])
	l.Load.Refusing = uint32(v[3])
	l.Class = parseReport(v[loadFields:])
	l.Whole = parseReport(v[loadFields+reportFields:])
	l.Sick = float64(v[allFields-1]) / milli
	return l, nil
}

func parseReport(v []int64) outlier.Report {
	return outlier.Report{
		Mean:   float64(v[0]) / milli,
		Spread: float64(v[1]) / milli,
		Fail:   float64(v[2]) / milli,
		Count:  float64(v[3]) / milli,
		Seq:    uint64(v[4]),
		Stuck:  time.Duration(v[5]) * time.Millisecond,
	}
}
