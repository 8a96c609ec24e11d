// Package setting strictly decodes settings files in TOML and reports each problem with its file and line and, for an unknown key, the
// nearest known name.
package setting
