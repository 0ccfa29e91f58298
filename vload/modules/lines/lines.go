// Package lines parses the log lines of a deployment's ingresses.
package lines

import (
	"regexp"
	"strconv"
	"time"
)

// Line is one parsed log line: its timestamp, its event name and all its fields.
type Line struct {
	At     time.Time
	Event  string
	Fields map[string]string
}

var fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Parse parses a line of key=value pairs and returns false if it has no time or event. Text
// before the first pair, for example the name of a process, is ignored.
func Parse(text string) (Line, bool) {
	l := Line{Fields: map[string]string{}}
	for _, found := range fieldPattern.FindAllStringSubmatch(text, -1) {
		key, value := found[1], found[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		if _, seen := l.Fields[key]; !seen {
			l.Fields[key] = value
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.Fields["time"])
	l.At = at
	l.Event = l.Fields["event"]
	return l, err == nil && l.Event != ""
}

// Duration returns the value of a duration field such as 12.5ms, or 0 if it is absent or invalid.
func (l Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Fields[key])
	if err != nil {
		return 0
	}
	return d
}

// Count returns the value of an integer field, or 0 if it is absent or invalid.
func (l Line) Count(key string) int {
	n, err := strconv.Atoi(l.Fields[key])
	if err != nil {
		return 0
	}
	return n
}
