package target

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	retryAfterHeader = "Retry-After"
	// maxRetryAfter limits how long a backend server can ask for no further calls.
	maxRetryAfter = time.Minute
)

// readRetryAfter returns how long a backend server that is overloaded asks for no further calls, from
// an answer with status 429 or 503. The header holds a number of seconds or a date. It returns 0 if the
// header is missing or not valid.
func readRetryAfter(response *http.Response, now time.Time) time.Duration {
	if response.StatusCode != http.StatusTooManyRequests && response.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	text := strings.TrimSpace(response.Header.Get(retryAfterHeader))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(seconds) {
		return time.Duration(min(max(seconds, 0), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(at.Sub(now), 0), maxRetryAfter)
}
