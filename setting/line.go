package setting

import (
	"strconv"
	"strings"
)

// Lines holds the lines, counted from 1, of the keys and the headers of tables in a TOML file.
type Lines struct{ byKey map[string]int }

// NewLines reads a file line by line. It doesn't know keys within inline tables.
func NewLines(data []byte) Lines {
	l := Lines{byKey: make(map[string]int)}
	counts := make(map[string]int) // elements of arrays of tables that have begun, by path with the indexes of the tables around
	current := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if name, isArray, ok := tableHeader(line); ok {
			current = tablePath(name, isArray, counts)
			l.put(current, i+1)
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && !strings.HasPrefix(line, "#") {
			l.put(joinKey(current, strings.Trim(strings.TrimSpace(name), `"'`)), i+1)
		}
	}
	return l
}

func (l Lines) put(key string, line int) {
	if l.byKey[key] == 0 {
		l.byKey[key] = line
	}
}

// Find returns the line of the value at a dotted key such as "route[2].prefix": that of the key in its table, or else that of the header of
// the table, or 0 if the file has neither.
func (l Lines) Find(key string) int {
	if key == "" {
		return 0
	}
	if line := l.byKey[key]; line > 0 {
		return line
	}
	table, last := splitKey(key)
	if line := l.byKey[joinKey(table, last)]; line > 0 {
		return line
	}
	return l.Find(table)
}

// splitKey splits the last part off a dotted key, without its index.
func splitKey(key string) (table, last string) {
	if dot := strings.LastIndexByte(key, '.'); dot >= 0 {
		table, key = key[:dot], key[dot+1:]
	}
	last, _, _ = strings.Cut(key, "[")
	return table, last
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

// tableHeader returns the name in a header of a table, and whether the table is an element of an array.
func tableHeader(line string) (name string, isArray, ok bool) {
	if !strings.HasPrefix(line, "[") {
		return "", false, false
	}
	isArray = strings.HasPrefix(line, "[[")
	name, _, ok = strings.Cut(strings.TrimLeft(line, "["), "]")
	return strings.ReplaceAll(name, " ", ""), isArray, ok
}

// tablePath returns the name of a table with the indexes of the arrays in it, and counts the table if it is an element of an array.
func tablePath(name string, isArray bool, counts map[string]int) string {
	path := ""
	parts := strings.Split(name, ".")
	for i, part := range parts {
		path = joinKey(path, part)
		if isArray && i == len(parts)-1 {
			counts[path]++
		}
		if n := counts[path]; n > 0 {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return path
}
