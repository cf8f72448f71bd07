// Package frame carries requests and answers between nodes. Bytes between
// failure domains are billed, so header fields are compressed by HPACK (RFC
// 7541) with tables that live as long as the connection; bodies travel raw. A
// connection carries one exchange at a time.
//
// A frame is a length (4 bytes, big-endian, of what follows), the length of the
// header block (2 bytes), the header block and the body. A frame of length 0
// says that the sender reads no further requests.
package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strconv"
	"strings"

	"golang.org/x/net/http2/hpack"

	"fuchsiapier/internal/pipe/msg"
)

const (
	lengthSize = 4
	blockSize  = 2
	// maxFrame bounds a frame, in bytes.
	maxFrame = 80 << 20
	// maxBlock bounds a header block, in bytes.
	maxBlock = 1<<16 - 1
	// tableSize bounds the memory of a connection's header table, in bytes.
	tableSize = 4 << 10
)

// Pseudo fields of a request and an answer.
const (
	fieldMethod = ":method"
	fieldPath   = ":path"
	fieldHost   = ":authority"
	fieldStatus = ":status"
	// fieldBody says that a request has a body, even an empty one.
	fieldBody = ":body"
)

// Errors of a connection.
var (
	ErrGoAway    = errors.New("peer reads no further requests")
	errTooLarge  = errors.New("frame exceeds the limit")
	errMalformed = errors.New("malformed frame")
)

// Fields are the header fields of a message in order.
type Fields []hpack.HeaderField

// Get returns the first field of a name, "" where there is none.
func (f Fields) Get(name string) string {
	for i := range f {
		if strings.EqualFold(f[i].Name, name) {
			return f[i].Value
		}
	}
	return ""
}

// Lines returns the fields as header lines, but for pseudo fields and those
// named in drop.
func (f Fields) Lines(drop ...string) []byte {
	out := make([]byte, 0, 256)
	for i := range f {
		if strings.HasPrefix(f[i].Name, ":") || contains(drop, f[i].Name) {
			continue
		}
		out = msg.AppendField(out, f[i].Name, f[i].Value)
	}
	return out
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// parseLines appends the fields of header lines.
func parseLines(out Fields, lines []byte) Fields {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(": "))
		if !ok {
			continue
		}
		out = append(out, hpack.HeaderField{
			Name:  string(name),
			Value: string(value),
		})
	}
	return out
}

// codec is the state of one connection's header tables, one for each direction.
type codec struct {
	block   bytes.Buffer
	encoder *hpack.Encoder
	decoder *hpack.Decoder
	// single names fields whose values never come again, which are kept out of the
	// tables.
	single map[string]bool
}

func newCodec(single ...string) *codec {
	c := &codec{
		decoder: hpack.NewDecoder(tableSize, nil),
		single:  map[string]bool{fieldPath: true},
	}
	c.decoder.SetMaxStringLength(maxBlock)
	c.encoder = hpack.NewEncoder(&c.block)
	for _, name := range single {
		c.single[name] = true
	}
	return c
}

// append encodes a message as a frame.
func (c *codec) append(fields Fields, body []byte) ([]byte, error) {
	c.block.Reset()
	for _, f := range fields {
		f.Sensitive = c.single[f.Name]
		if err := c.encoder.WriteField(f); err != nil {
			return nil, err
		}
	}
	if c.block.Len() > maxBlock {
		return nil, errTooLarge
	}
	size := blockSize + c.block.Len() + len(body)
	out := make([]byte, 0, lengthSize+size)
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	out = binary.BigEndian.AppendUint16(out, uint16(c.block.Len()))
	out = append(out, c.block.Bytes()...)
	return append(out, body...), nil
}

// read decodes the next frame.
func (c *codec) read(r io.Reader) (Fields, []byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	switch {
	case size == 0:
		return nil, nil, ErrGoAway
	case size < blockSize:
		return nil, nil, errMalformed
	case size > maxFrame:
		return nil, nil, errTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, nil, err
	}
	block := int(binary.BigEndian.Uint16(data))
	if blockSize+block > len(data) {
		return nil, nil, errMalformed
	}
	fields, err := c.decoder.DecodeFull(data[blockSize : blockSize+block])
	if err != nil {
		return nil, nil, errors.Join(errMalformed, err)
	}
	return fields, data[blockSize+block:], nil
}

// Request is a request between nodes.
type Request struct {
	msg.Request
	// Header has all fields, those of the nodes themselves too.
	Header Fields
}

// Answer is an answer between nodes.
type Answer struct {
	Status int
	Header Fields
	Body   []byte
}

func requestFields(r *msg.Request, extra []byte) Fields {
	fields := Fields{
		{Name: fieldMethod, Value: r.Method},
		{Name: fieldPath, Value: r.URI},
		{Name: fieldHost, Value: r.Host},
	}
	if r.HasBody {
		fields = append(fields, hpack.HeaderField{
			Name:  fieldBody,
			Value: "1",
		})
	}
	fields = parseLines(fields, r.Fields)
	return parseLines(fields, extra)
}

func decodeRequest(fields Fields, body []byte) (*Request, error) {
	r := &Request{
		Header: fields,
		Request: msg.Request{
			Method:  fields.Get(fieldMethod),
			URI:     fields.Get(fieldPath),
			Host:    fields.Get(fieldHost),
			HasBody: fields.Get(fieldBody) != "",
			Body:    body,
		},
	}
	if r.Method == "" || r.URI == "" {
		return nil, errMalformed
	}
	return r, nil
}

func decodeAnswer(fields Fields, body []byte) (*Answer, error) {
	status, err := strconv.Atoi(fields.Get(fieldStatus))
	if err != nil {
		return nil, errors.Join(errMalformed, err)
	}
	return &Answer{
		Status: status,
		Header: fields,
		Body:   body,
	}, nil
}
