// Package setting decodes strict TOML files and reports every fault with its file, line and nearest known name.
package setting
