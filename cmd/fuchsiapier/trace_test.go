package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/check"
)

const sampleLog = `{"node":"b","request":"r1","time":"2026-12-04T10:00:00.300Z","message":"request answered","status":502}
cut off {
{"node":"c","request":"r1.a.b","time":"2026-12-04T10:00:00.200Z","message":"call refused or failed at the gate"}
{"node":"c","request":"r10","time":"2026-12-04T10:00:00.100Z","message":"request answered"}
{"node":"c","time":"2026-12-04T10:00:00.100Z","message":"started"}
`

const crashLog = `{"node":"a","time":"1","message":"first crash","requests":["x1 f","y1 g"]}
{"node":"b","time":"2","message":"noted","noted":["e","f"]}
{"node":"b","time":"2","message":"another crash","requests":["y2 g"],"noted":["g"]}
{"node":"b","time":"3","message":"second crash","requests":["x2 f"]}
{"node":"b","time":"3","message":"standing","fingerprint":"f"}
{"node":"c","time":"4","message":"another standing","fingerprint":"g"}
{"node":"c","time":"5","message":"refused","request":"x3","fingerprint":"f"}
`

// TestTrace guards against dropping the lines of nested calls, taking another request
// whose ID has the same prefix, and failing on lines that are not JSON.
func TestTrace(t *testing.T) {
	Convey("Only the lines of a request and its nested calls are printed, in order of time", t, func() {
		lines, skipped, err := readLines(strings.NewReader(sampleLog))
		So(err, ShouldBeNil)
		lines = traceLines(lines, "r1")
		So(skipped, ShouldEqual, 1)
		var out bytes.Buffer
		So(printTrace(&out, lines, skipped), ShouldBeNil)
		text := out.String()
		So(strings.Index(text, "r1.a.b"), ShouldBeLessThan, strings.Index(text, `"status":502`))
		So(text, ShouldNotContainSubstring, "r10")
		So(text, ShouldStartWith, "1 lines")
	})
	Convey("So are the lines about crashes during which it ran, or another one of the same content", t, func() {
		lines, _, err := readLines(strings.NewReader(crashLog))
		So(err, ShouldBeNil)
		var got []string
		for _, l := range traceLines(lines, "x2") {
			got = append(got, l.Message)
		}
		So(got, ShouldResemble, []string{"first crash", "noted", "second crash", "standing", "refused"})
	})
	Convey("A request without lines is an error", t, func() {
		So(errors.Is(printTrace(&bytes.Buffer{}, nil, 0), errNoLines), ShouldBeTrue)
	})
}

// TestCheckPlatformFiles guards against accepting an invalid file of the users'
// platform, or reporting its findings without the keys.
func TestCheckPlatformFiles(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	Convey("Findings in settings and configurations of the platform carry their keys", t, func() {
		var findings check.Findings
		err := checkFile(write("boot.platform.toml", "node_name = \"n\""))
		So(errors.As(err, &findings), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "listen.control")
		err = checkFile(write("a.platform.json", `{"version":1,"routes":[{"host":"h"}]}`))
		So(errors.As(err, &findings), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "routes.0")
		So(checkFile(write("b.platform.json", `{"version":1}`)), ShouldBeNil)
		err = checkFile(write("c.platform.json", `{`))
		So(errors.As(err, &findings), ShouldBeTrue)
	})
}
