package rules

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func testRules() *Rules {
	route := func(host, prefix string) Route {
		return Route{
			Name:   host + prefix,
			Host:   host,
			Prefix: prefix,
		}
	}
	return New(Content{
		Version: 7,
		Routes: []Route{
			route("a.example", "/x/"),
			route("a.example", "/x/y/"),
			route("b.example", "/"),
		},
		Keyrings: []Keyring{
			{
				Workspace: Workspace{Name: "w"},
				Keys:      []Digest{DigestOf("secret")},
			},
		},
	})
}

// TestMatch guards against requests that are sent to the service of another route
// because a prefix matches inside a path segment or in the query, or because the case
// or the port of the host is compared.
func TestMatch(t *testing.T) {
	Convey("The route with the longest matching prefix is chosen", t, func() {
		r := testRules()
		for path, want := range map[string]string{
			"/x/1":       "a.example/x/",
			"/x/y/1":     "a.example/x/y/",
			"/x/yy/1":    "a.example/x/",
			"/x/y":       "a.example/x/",
			"/x/?q=/y/":  "a.example/x/",
			"/x/y/?q=/z": "a.example/x/y/",
		} {
			route, ok := r.Match("A.example:8080", path)
			So(ok, ShouldBeTrue)
			So(route.Name, ShouldEqual, want)
		}
	})
	Convey("Unknown hosts and paths have no route", t, func() {
		r := testRules()
		for host, path := range map[string]string{"a.example": "/z/1", "c.example": "/x/1", "": "/x/"} {
			_, ok := r.Match(host, path)
			So(ok, ShouldBeFalse)
		}
		_, ok := r.Match("b.example", "*")
		So(ok, ShouldBeFalse)
	})
}

// TestKeys guards against keys that authenticate although they are not exactly a key
// of the workspace.
func TestKeys(t *testing.T) {
	Convey("A key belongs to its workspace; unknown keys belong to none", t, func() {
		r := testRules()
		w, ok := r.ByKey("secret")
		So(ok, ShouldBeTrue)
		So(w.Name, ShouldEqual, "w")
		_, ok = r.ByKey("Secret")
		So(ok, ShouldBeFalse)
		_, ok = r.ByKey("")
		So(ok, ShouldBeFalse)
	})
}
