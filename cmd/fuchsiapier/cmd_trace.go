package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

var errNoLines = errors.New("no line about the request; give the logs of all nodes of that time")

// logLine is a line of a node's log with what orders and names it.
type logLine struct {
	Time    string `json:"time"`
	Node    string `json:"node"`
	Request string `json:"request"`
	Message string `json:"message"`
	text    string
}

func cmdTrace() command {
	return command{
		name:  "trace",
		args:  "REQUEST FILE...",
		short: "Print what the nodes' logs say of a request and of the calls it brought, in order of time",
		long:  "Print what the nodes' logs say of a request and of the calls it brought, in order of time.\nFILE is what a node of the users' platform wrote to standard output; - is standard input.\nLines that are no JSON are passed over and counted.",
		count: cobra.MinimumNArgs(2),
		action: func(cmd *cobra.Command, _ *env, args []string) error {
			var all []logLine
			unread := 0
			for _, file := range args[1:] {
				lines, bad, err := traceFile(file, args[0])
				if err != nil {
					return err
				}
				all = append(all, lines...)
				unread += bad
			}
			return printTrace(cmd.OutOrStdout(), all, unread)
		},
	}
}

func traceFile(file, request string) (lines []logLine, unread int, err error) {
	if file == "-" {
		return readTrace(os.Stdin, request)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }()
	return readTrace(f, request)
}

// readTrace returns the lines about a request or a call below it, whose ID
// begins with that of the request and a dot.
func readTrace(r io.Reader, request string) (lines []logLine, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var l logLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			unread++
			continue
		}
		if l.Request == request || strings.HasPrefix(l.Request, request+".") {
			l.text = scanner.Text()
			lines = append(lines, l)
		}
	}
	return lines, unread, scanner.Err()
}

func printTrace(w io.Writer, lines []logLine, unread int) error {
	if unread > 0 {
		if _, err := fmt.Fprintf(w, "%d lines that are no JSON were passed over\n", unread); err != nil {
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
