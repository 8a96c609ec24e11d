package bundle

import (
	"fmt"

	"github.com/jasminevane/jasminevane/setting"
)

// Severity tells how much a finding matters.
type Severity int

// Severities of a finding.
const (
	Notice  Severity = iota // nothing to mend
	Warning                 // valid, but hardly meant, or it takes work from callers
	Error                   // a node refuses the configuration
)

// String returns the name of the severity.
func (s Severity) String() string {
	switch s {
	case Error:
		return "error"
	case Warning:
		return "warning"
	}
	return "notice"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Code names the kind of a finding; it stays the same across releases.
type Code string

// Codes of what is found in one configuration.
const (
	CodeInvalid              Code = "invalid"
	CodeSharedHost           Code = "shared-host"
	CodeSharedKey            Code = "shared-key"
	CodeSharesExceedOne      Code = "shares-exceed-one"
	CodeHiddenRoute          Code = "hidden-route"
	CodePartlyHiddenRoute    Code = "partly-hidden-route"
	CodeUnmatchableHost      Code = "unmatchable-host"
	CodeUnusedService        Code = "unused-service"
	CodeUnusedClass          Code = "unused-class"
	CodeCallerWithoutKey     Code = "caller-without-key"
	CodeBurstBelowOne        Code = "burst-below-one"
	CodeBurstBelowRate       Code = "burst-below-rate"
	CodeObjectiveOverTimeout Code = "objective-over-timeout"
	CodeRetentionTooShort    Code = "retention-too-short"
	CodeLimitOverRoom        Code = "limit-over-room"
	CodeUnknownSlots         Code = "unknown-slots"
	CodeAdjusted             Code = "adjusted"
	CodeInvalidAgainst       Code = "invalid-against" // the configuration in force, with which the checked one is compared
)

// Codes of differences between two configurations.
const (
	CodeAdded           Code = "added"
	CodeRemoved         Code = "removed"
	CodeChanged         Code = "changed"
	CodeRemovedRoute    Code = "removed-route"
	CodeMovedRoute      Code = "moved-route"
	CodeRemovedPublic   Code = "removed-public"
	CodeLoweredTimeout  Code = "lowered-timeout"
	CodeLoweredAttempts Code = "lowered-attempts"
	CodeRemovedHost     Code = "removed-host"
	CodeRemovedKey      Code = "removed-key"
	CodeMovedKey        Code = "moved-key"
	CodeKeysRequired    Code = "keys-required"
	CodeKeysNotRequired Code = "keys-not-required"
	CodeLoweredLimit    Code = "lowered-limit"
)

// Finding is something that the check of a configuration reports. It holds no key of a caller and no digest of one.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Place    string   `json:"place"`          // path of the value in the file, such as "route[2].prefix", or key of the entry in a comparison
	Line     int      `json:"line,omitempty"` // line in the file, counted from 1, or 0 if it is unknown
	Message  string   `json:"message"`
}

// findings collects the findings of a check.
type findings []Finding

func (f *findings) add(s Severity, code Code, place, format string, args ...any) {
	*f = append(*f, Finding{Severity: s, Code: code, Place: place, Message: fmt.Sprintf(format, args...)})
}

// ProblemFinding returns a problem with a file as a finding.
func ProblemFinding(p setting.Problem) Finding {
	code := Code(p.Code())
	if code == "" {
		code = CodeInvalid
	}
	return Finding{Severity: Error, Code: code, Place: p.Key(), Line: p.Line(), Message: p.Text()}
}
