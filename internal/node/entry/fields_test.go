package entry

import (
	"iter"
	"strings"
)

// splitFields yields the name and value of each header line.
func splitFields(fields []byte) iter.Seq[[2]string] {
	return func(yield func([2]string) bool) {
		for line := range strings.SplitSeq(string(fields), "\r\n") {
			name, value, ok := strings.Cut(line, ": ")
			if ok && !yield([2]string{name, value}) {
				return
			}
		}
	}
}
