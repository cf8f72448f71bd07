// Package seeds tells tests which seeds to play.
package seeds

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// Range returns the first and the last seed: those that an environment variable names as FIRST-LAST, or
// the given ones if it is not set. It fails the test if the variable has another form.
func Range(t testing.TB, variable string, first, last uint64) (uint64, uint64) {
	t.Helper()
	value := os.Getenv(variable)
	if value == "" {
		return first, last
	}
	from, to, _ := strings.Cut(value, "-")
	first, errFirst := strconv.ParseUint(from, 10, 64)
	last, errLast := strconv.ParseUint(to, 10, 64)
	if errFirst != nil || errLast != nil {
		t.Fatalf("%s: want first-last, got %q", variable, value)
	}
	return first, last
}
