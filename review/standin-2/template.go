package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a settings template as the platform does: {{a.b}} and {{a.b|json}} return a value, {{#a}} .. {{/a}} is kept if the value is
// present, {{^a}} .. {{/a}} if it is not. Lists are not repeated, since the template of this project repeats none.
func render(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", fmt.Errorf("placeholder without an end: %q", rest)
		}
		text = after
		if tag[0] != '#' && tag[0] != '^' {
			value, err := format(tag, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			continue
		}
		name := tag[1:]
		section, after, found := strings.Cut(text, "{{/"+name+"}}")
		if !found {
			return "", fmt.Errorf("section %q has no end", name)
		}
		text = after
		value := lookup(name, fields)
		present := value != nil && value != false
		if present == (tag[0] == '#') {
			inner, err := render(section, fields)
			if err != nil {
				return "", err
			}
			out.WriteString(inner)
		}
	}
}

func format(tag string, fields map[string]any) (string, error) {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := lookup(name, fields)
	if asJSON {
		data, err := json.Marshal(value)
		return string(data), err
	}
	if value == nil {
		return "", nil
	}
	return fmt.Sprint(value), nil
}

// lookup returns the value at a path such as a.b.0, or nil.
func lookup(path string, fields map[string]any) any {
	var value any = fields
	for _, part := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
