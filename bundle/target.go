package bundle

import (
	"fmt"
	"strings"
)

// Path is the path of a request target as it was sent, octet for octet: an encoded slash in it is no slash.
type Path string

// Target is the target of a request. It is read once, so that what a route matches on is what is forwarded.
type Target struct {
	text string
	path Path
}

// TargetError reports a request target that can't be read in one way only, or not be forwarded as it is.
type TargetError struct{ target, reason string }

// Error implements error.
func (e *TargetError) Error() string {
	return fmt.Sprintf("request target %q can't be forwarded: %s", e.target, e.reason)
}

// ParseTarget reads a request target in origin form or absolute form. The error is a *TargetError.
func ParseTarget(text string) (Target, error) {
	if strings.ContainsFunc(text, endsWord) {
		return Target{}, &TargetError{text, "it holds a space or a control character"}
	}
	rest := text
	if !strings.HasPrefix(text, "/") {
		var ok bool
		if rest, ok = cutAuthority(text); !ok {
			return Target{}, &TargetError{text, "it is neither a path nor the URL of one"}
		}
	}
	path, _, _ := strings.Cut(rest, "?")
	if path == "" {
		path = "/"
	}
	return Target{text: text, path: Path(path)}, nil
}

// endsWord reports whether a character ends a word of the first line of a request. HTTP/2 lets callers send such characters.
func endsWord(r rune) bool { return r <= ' ' || r == 0x7f }

// cutAuthority returns what follows the authority of a target in absolute form, which has a host and no user.
func cutAuthority(text string) (rest string, ok bool) {
	after, ok := strings.CutPrefix(text, "http://")
	if !ok {
		after, ok = strings.CutPrefix(text, "https://")
	}
	end := strings.IndexAny(after, "/?")
	if end < 0 {
		end = len(after)
	}
	authority := after[:end]
	return after[end:], ok && authority != "" && !strings.Contains(authority, "@")
}

// Path returns what a route matches on.
func (t Target) Path() Path { return t.path }

// String returns the target as it was sent, which is what is forwarded.
func (t Target) String() string { return t.text }
