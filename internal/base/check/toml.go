package check

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// DecodeTOML decodes data into v and returns a collector that knows the line of
// each key. Syntax errors, wrong types and unknown keys are recorded as findings.
func DecodeTOML(source string, data []byte, v any) *Collector {
	c := NewCollector(source, TOMLLines(data))
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return c
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			c.AddAt(line, strings.Join(e.Key(), "."), "unknown key; remove it or correct its spelling")
		}
		return c
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		c.AddAt(line, strings.Join(bad.Key(), "."), bad.Error())
		return c
	}
	c.Addf("", "%v", err)
	return c
}

// TOMLLines returns the line of each table and key, for a repeated one that of its
// first use. It stops at a syntax error, which the decoder reports.
func TOMLLines(data []byte) Lines {
	lines := Lines{}
	var p unstable.Parser
	p.Reset(data)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			path = append(path, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
		}
		if e.Kind == unstable.KeyValue {
			path = append(append([]string{}, table...), path...)
		} else if len(path) > 0 {
			table = path
		}
		key := strings.Join(path, ".")
		if _, seen := lines[key]; !seen {
			lines[key] = line
		}
	}
	return lines
}
