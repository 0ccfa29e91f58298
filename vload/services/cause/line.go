// Package cause reads the log lines of a deployment's ingresses and prints tables of where
// requests spent their time and why some of them failed.
package cause

import (
	"regexp"
	"strconv"
	"time"
)

// line is one parsed log line: its timestamp, its event name and all its fields.
type line struct {
	at     time.Time
	event  string
	fields map[string]string
}

var fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine parses a line of key=value pairs and returns false if it has no time or event. Text
// before the first pair, for example the name of a process, is ignored.
func parseLine(text string) (line, bool) {
	l := line{fields: map[string]string{}}
	for _, found := range fieldPattern.FindAllStringSubmatch(text, -1) {
		key, value := found[1], found[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		if _, seen := l.fields[key]; !seen {
			l.fields[key] = value
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at = at
	l.event = l.fields["event"]
	return l, err == nil && l.event != ""
}

// duration returns the value of a duration field such as 12.5ms, or 0 if it is absent or invalid.
func (l line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// count returns the value of an integer field, or 0 if it is absent or invalid.
func (l line) count(key string) int {
	n, err := strconv.Atoi(l.fields[key])
	if err != nil {
		return 0
	}
	return n
}
