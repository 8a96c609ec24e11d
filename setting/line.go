package setting

import (
	"strconv"
	"strings"
)

// FindLine returns the line, counted from 1, of the value at a dotted key such as "route[2].prefix" in a TOML file: that of the key in its
// table, or else that of the header of the table, or 0 if it finds neither. It reads line by line and doesn't know keys within inline
// tables.
func FindLine(data []byte, key string) int {
	table, last := splitKey(key)
	counts := make(map[string]int) // elements of arrays of tables that have begun, by path with the indexes of the tables around
	current, headerLine := "", 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if name, isArray, ok := tableHeader(line); ok {
			current = tablePath(name, isArray, counts)
			if current == key {
				return i + 1
			}
			if current == table && headerLine == 0 {
				headerLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		name = strings.Trim(strings.TrimSpace(name), `"'`)
		if current == table && name == last || joinKey(current, name) == key {
			return i + 1
		}
	}
	if headerLine == 0 && table != "" {
		return FindLine(data, table) // an inline table, or none
	}
	return headerLine
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
