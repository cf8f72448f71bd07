// Package check collects the findings of a validation with their positions, so
// that all faults of an input are reported at once.
package check

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in an input.
type Finding struct {
	// Source names the input: a file, an offset of the platform's log or a header.
	Source string
	// Line is the line within the source, from 1; 0 where it is not known.
	Line int
	// Key is the dotted path of the faulty value; empty for a fault of the whole
	// input.
	Key string
	// Problem says what is wrong, and how to correct it.
	Problem string
}

// String formats a finding as "source:line: key: problem", without the line or
// the key where it has none.
func (f Finding) String() string {
	position := f.Source
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.Source, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", position, f.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.Key, f.Problem)
}

// Findings is an error that reports all faults of an input.
type Findings []Finding

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Lines maps dotted keys to their line numbers, from 1.
type Lines map[string]int

// find returns the line of key or of its nearest parent, 0 where neither is known.
func (l Lines) find(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// Collector collects the findings about one source. It is not safe for concurrent
// use.
type Collector struct {
	source   string
	lines    Lines
	findings Findings
}

// NewCollector returns a collector for the named source. lines gives the line
// numbers of findings; it may be nil.
func NewCollector(source string, lines Lines) *Collector {
	return &Collector{
		source: source,
		lines:  lines,
	}
}

// Addf records a problem at a key, on the line of the key or of its nearest parent.
func (c *Collector) Addf(key, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Source:  c.source,
		Line:    c.lines.find(key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

// AddAt records a problem at a key on the given line.
func (c *Collector) AddAt(line int, key, problem string) {
	c.findings = append(c.findings, Finding{
		Source:  c.source,
		Line:    line,
		Key:     key,
		Problem: problem,
	})
}

// Err returns all findings, as Findings sorted by line, or nil where there are
// none.
func (c *Collector) Err() error {
	if len(c.findings) == 0 {
		return nil
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		return c.findings[i].Line < c.findings[j].Line
	})
	return c.findings
}
