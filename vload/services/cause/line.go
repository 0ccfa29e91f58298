// Package cause tells from the log lines of a deployment's ingresses where the time of
// its requests went, and why some were not served. In: lines. Out: tables.
package cause

import (
	"regexp"
	"strconv"
	"time"
)

// line is one log line: the time that it gives, its event and its other fields.
type line struct {
	at     time.Time
	event  string
	fields map[string]string
}

var pair = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parseLine reads a line of key=value pairs; false where it has no time or event. What
// stands before the first pair, such as the name of a process, is passed over.
func parseLine(text string) (line, bool) {
	l := line{fields: map[string]string{}}
	for _, found := range pair.FindAllStringSubmatch(text, -1) {
		key, value := found[1], found[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		if _, twice := l.fields[key]; !twice {
			l.fields[key] = value
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
	l.at = at
	l.event = l.fields["event"]
	return l, err == nil && l.event != ""
}

// duration returns a field that holds a time such as 12.5ms; 0 where it has none.
func (l line) duration(key string) time.Duration {
	d, err := time.ParseDuration(l.fields[key])
	if err != nil {
		return 0
	}
	return d
}

// count returns a field that holds a whole number; 0 where it has none.
func (l line) count(key string) int {
	n, err := strconv.Atoi(l.fields[key])
	if err != nil {
		return 0
	}
	return n
}
