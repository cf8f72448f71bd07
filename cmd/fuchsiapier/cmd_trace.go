package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

var errNoLines = errors.New("no log line about the request; pass the logs of all nodes from the time of the request")

// logLine is a line of a node's log: the fields by which it is selected and sorted,
// and the whole text.
type logLine struct {
	Time    string `json:"time"`
	Node    string `json:"node"`
	Request string `json:"request"`
	Message string `json:"message"`
	// Fingerprint is set in lines about requests that ran during crashes. Requests names those that
	// ran when a target crashed, each with its fingerprint behind a space, Noted the fingerprints of
	// those for which it was the first crash.
	Fingerprint string   `json:"fingerprint"`
	Requests    []string `json:"requests"`
	Noted       []string `json:"noted"`
	text        string
}

// cmdTrace returns the command that prints the log lines of one request
// and its nested calls.
func cmdTrace() command {
	return command{
		name:      "trace",
		args:      "REQUEST FILE...",
		short:     "Print what the nodes' logs say of a request and of the calls it brought, in order of time",
		long:      "Print what the nodes' logs say of a request and of the calls it brought, in order of time.\nFILE is what a node of the users' platform wrote to standard output; - is standard input.\nLines that are no JSON are passed over and counted.",
		checkArgs: cobra.MinimumNArgs(2),
		action: func(cmd *cobra.Command, _ *env, args []string) error {
			var all []logLine
			skipped := 0
			for _, file := range args[1:] {
				lines, n, err := traceFile(file)
				if err != nil {
					return err
				}
				all = append(all, lines...)
				skipped += n
			}
			return printTrace(cmd.OutOrStdout(), traceLines(all, args[0]), skipped)
		},
	}
}

// traceFile returns the lines of a file, or of standard input for -.
func traceFile(file string) (lines []logLine, skipped int, err error) {
	if file == "-" {
		return readLines(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	return readLines(f)
}

// readLines returns the lines of a log. skipped counts those that are not JSON.
func readLines(r io.Reader) (lines []logLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l logLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			skipped++
			continue
		}
		l.text = scanner.Text()
		lines = append(lines, l)
	}
	return lines, skipped, scanner.Err()
}

// traceLines returns the lines about a request or a nested call of it, whose ID begins
// with the ID of the request and a dot, and about crashes of targets on which they ran, or others with
// the same content.
func traceLines(lines []logLine, request string) []logLine {
	about := func(id string) bool { return id == request || strings.HasPrefix(id, request+".") }
	fingerprints := map[string]bool{}
	for _, l := range lines {
		if about(l.Request) && l.Fingerprint != "" {
			fingerprints[l.Fingerprint] = true
		}
		for _, ran := range l.Requests {
			if id, fingerprint, ok := strings.Cut(ran, " "); ok && about(id) {
				fingerprints[fingerprint] = true
			}
		}
	}
	known := func(fingerprint string) bool { return fingerprints[fingerprint] }
	var out []logLine
	for _, l := range lines {
		ran := slices.ContainsFunc(l.Requests, func(ran string) bool {
			_, fingerprint, _ := strings.Cut(ran, " ")
			return known(fingerprint)
		})
		if about(l.Request) || known(l.Fingerprint) || ran || slices.ContainsFunc(l.Noted, known) {
			out = append(out, l)
		}
	}
	return out
}

// printTrace prints the lines in order of time; lines of the same time keep their
// order.
func printTrace(w io.Writer, lines []logLine, skipped int) error {
	if skipped > 0 {
		if _, err := fmt.Fprintf(w, "%d lines that are no JSON were passed over\n", skipped); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return errNoLines
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s %s %s\n  %s\n", l.Time, l.Node, l.Message, l.text); err != nil {
			return err
		}
	}
	return nil
}
