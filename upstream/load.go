package upstream

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/pkg/errors"
)

// Load is the load and health of an upstream, with the report on one class. Nodes send it to each other with their responses.
type Load struct {
	Load        admission.Load
	Refusing    bool // requests of the class are being rejected
	RefusedFrom int  // the most urgent priority at which they are; 0 if all are
	ClassReport outlier.Report
	Suspicion   float64 // probability that the upstream is unhealthy, 0 to 1, as its gate estimates it
}

// milli is the factor by which the text form scales fractions.
const milli = 1000

// String returns the text form that ParseLoad reads.
func (l Load) String() string {
	refusing := 0
	if l.Refusing {
		refusing = 1 + l.RefusedFrom
	}
	return fmt.Sprintf("%d,%d,%d,%d,%d,%d,%d,%d,%d", l.Load.Running, l.Load.Queued, l.Load.Limit, refusing,
		int(l.ClassReport.MeanLogMicros*milli), int(l.ClassReport.FailureCount*milli), int(l.ClassReport.SampleCount*milli), l.ClassReport.TotalSamples, int(l.Suspicion*milli))
}

// loadFields is the number of fields of the text form.
const loadFields = 9

// ParseLoad parses the text form of a load.
func ParseLoad(text string) (Load, error) {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields {
		return Load{}, errors.Errorf("load %q has %d fields", text, len(fields))
	}
	var v [loadFields]int64
	for i, f := range fields {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil || n < 0 {
			return Load{}, errors.Errorf("load %q: bad field %d", text, i)
		}
		v[i] = n
	}
	var l Load
	l.Load.Running, l.Load.Queued, l.Load.Limit = int(v[0]), int(v[1]), int(v[2])
	l.Refusing = v[3] > 0
	l.RefusedFrom = int(max(0, v[3]-1))
	l.ClassReport = outlier.Report{MeanLogMicros: float64(v[4]) / milli, FailureCount: float64(v[5]) / milli, SampleCount: float64(v[6]) / milli, TotalSamples: uint64(v[7])}
	l.Suspicion = float64(v[8]) / milli
	return l, nil
}
